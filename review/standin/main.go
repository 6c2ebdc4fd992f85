// Command standin plays the cases of the review that are scripts. It starts daemons as processes, and
// is itself their store, their workers and their requesters.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. A case reports whether the rule held.
var cases = map[string]func(s *os.File, trouble bool) (held bool, err error){
	"late":    lateCase,
	"relay":   relayCase,
	"silence": silenceCase,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	held, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(record, "could not run:", err)
		return exitNotRun
	case !held:
		_, _ = fmt.Fprintln(record, "the rule was broken")
		return exitBroken
	}
	_, _ = fmt.Fprintln(record, "the rule held")
	return exitHeld
}
