package command

import (
	"fmt"
	"io"
	"os"

	"github.com/violettally/violettally/accuracy"
	"github.com/violettally/violettally/lag"
)

// logReport is what a command makes of logs.
type logReport interface {
	Read(name string, log io.Reader) error
	Print(w io.Writer) error
	Broken() int
}

// estimates needs no node: it reads logs alone.
func (r *runner) estimates(args *logArgs) int {
	table := accuracy.New()
	return r.printReport(table, args, "decisions", func() bool { return table.Decisions() > 0 })
}

// lags needs no node either.
func (r *runner) lags(args *logArgs) int {
	table := lag.New()
	return r.printReport(table, args, "news of the store", func() bool { return table.Changes() > 0 })
}

// printReport reads logs into a table and prints it, if they hold what it is of.
func (r *runner) printReport(table logReport, args *logArgs, what string, held func() bool) int {
	if err := r.readLogs(table, args.Files); err != nil {
		fmt.Fprintln(r.stderr, err)
		return ExitFailure
	}
	if !held() {
		fmt.Fprintf(r.stderr, "no %s in these logs; %d broken lines\n", what, table.Broken())
		return ExitFailure
	}
	if err := table.Print(r.stdout); err != nil {
		fmt.Fprintln(r.stderr, err)
		return ExitFailure
	}
	return ExitOK
}

// readLogs reads the files, or standard input if there are none.
func (r *runner) readLogs(table logReport, files []string) error {
	if len(files) == 0 {
		return table.Read("standard input", r.stdin)
	}
	for _, file := range files {
		if err := readLog(table, file); err != nil {
			return err
		}
	}
	return nil
}

func readLog(table logReport, file string) error {
	log, err := os.Open(file)
	if err != nil {
		return err
	}
	defer log.Close()
	return table.Read(file, log)
}
