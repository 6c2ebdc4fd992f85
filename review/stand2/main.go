// Command stand2 has the stand-ins of the cases of the second review, and plays the cases.
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

// cases are the cases by name. Each file of a case adds its own. A case returns whether its rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case, without its disruption if TROUBLE is 0, and returns the exit code.
func play(name, recordFile string) int {
	f, err := newFleet(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.end()
	broken, err := cases[name](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.note("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	f.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
