package command

import (
	"fmt"
	"os"

	"github.com/violettally/violettally/accuracy"
)

// estimates needs no node: it reads logs alone.
func (r *runner) estimates(args *estimatesArgs) int {
	table := accuracy.New()
	if err := r.readLogs(table, args.Files); err != nil {
		fmt.Fprintln(r.stderr, err)
		return ExitFailure
	}
	if table.Decisions() == 0 {
		fmt.Fprintf(r.stderr, "no decisions in these logs; %d broken lines\n", table.Broken())
		return ExitFailure
	}
	if err := table.Print(r.stdout); err != nil {
		fmt.Fprintln(r.stderr, err)
		return ExitFailure
	}
	return ExitOK
}

// readLogs adds up the files, or standard input if there are none.
func (r *runner) readLogs(table *accuracy.Table, files []string) error {
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

func readLog(table *accuracy.Table, file string) error {
	log, err := os.Open(file)
	if err != nil {
		return err
	}
	defer log.Close()
	return table.Read(file, log)
}
