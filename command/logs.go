package command

import (
	"fmt"
	"io"
	"os"

	"github.com/violettally/violettally/accuracy"
	"github.com/violettally/violettally/lag"
)

// logReport is a table computed from gateway logs.
type logReport interface {
	Read(name string, log io.Reader) error
	Print(w io.Writer) error
	BrokenLines() int
}

// estimates reports the accuracy of estimates from logs, without a node.
func (r *runner) estimates(args *logArgs) int {
	table := accuracy.New()
	return r.printReport(table, args, "decisions", func() bool { return table.Decisions() > 0 })
}

// lags reports the propagation delay of store changes from logs, without a
// node.
func (r *runner) lags(args *logArgs) int {
	table := lag.New()
	return r.printReport(table, args, "store changes", func() bool { return table.Changes() > 0 })
}

// printReport reads logs into a table and prints it. It fails if hasRecords
// returns false afterwards; records names the missing records in the error.
func (r *runner) printReport(table logReport, args *logArgs, records string, hasRecords func() bool) int {
	if err := r.readLogs(table, args.Files); err != nil {
		fmt.Fprintln(r.stderr, err)
		return ExitFailure
	}
	if !hasRecords() {
		fmt.Fprintf(r.stderr, "no %s in these logs; %d broken lines\n", records, table.BrokenLines())
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
