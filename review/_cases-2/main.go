// Command review-2 plays the cases of the second independent review: it starts gateways by the command of the deploy
// file, as processes of their own, between stand-ins of the platform's store, of runners and of clients on loopback.
//
//	review-2 CASE FOLDER
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
// it does the same without the disruption.
package main

import (
	"fmt"
	"os"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name.
var cases = map[string]func(*world) (broken bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	go w.endOnSignal()
	os.Exit(w.play(cases[os.Args[1]]))
}
