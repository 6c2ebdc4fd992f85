package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/doorvalve/doorvalve/daemon"
)

type pathsCmd struct{}

// Run prints which endpoints the daemons at --address reach over their own path, and which they have
// lost it to.
func (c *pathsCmd) Run(cl *cli) error {
	dumps, failed := cl.dumps()
	list := daemonPaths(dumps)
	err := cl.print(list, func() {
		t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "DAEMON\tENDPOINTS\tLOST ADDRESS\tFAILURE\tSINCE\tRELAYED")
		for _, d := range list {
			fmt.Fprintf(t, "%s\t%d of %d reached\t\t\t\t%d for others\n", d.Daemon, d.Listed-len(d.Lost), d.Listed, d.Relaying)
			for _, l := range d.Lost {
				fmt.Fprintf(t, "\t\t%s\t%s\t%d ms\t%v\n", l.Address, l.Failure, l.SinceMs, l.Relayed)
			}
		}
		_ = t.Flush() // to the terminal
	})
	if err != nil {
		return err
	}
	return failed
}

// DaemonPaths is the paths of one daemon to the endpoints.
type DaemonPaths struct {
	Daemon string `json:"daemon"`
	daemon.Paths
}

func daemonPaths(dumps []daemon.Dump) []DaemonPaths {
	list := make([]DaemonPaths, len(dumps))
	for i, d := range dumps {
		list[i] = DaemonPaths{d.ID, d.Paths}
	}
	return list
}
