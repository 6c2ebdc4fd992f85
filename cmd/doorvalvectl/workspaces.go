package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/doorvalve/doorvalve/daemon"
)

type workspacesCmd struct{}

// WorkspaceUsage is the quota and the use of one workspace, merged from the states of all daemons.
type WorkspaceUsage struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"requests_per_second"` // 0: no quota
	Burst     float64 `json:"burst"`
	Demand    float64 `json:"demand_per_second"` // at all daemons, from the owner's state
	Level     float64 `json:"left"`              // requests left in the bucket
	Owner     string  `json:"owner"`             // daemon that divides the quota among the daemons; empty if none of them does
	Passed    int64   `json:"passed"`            // since the start of each daemon
	Refused   int64   `json:"refused"`
}

// Run prints the workspaces, from the states of all daemons at --address.
func (c *workspacesCmd) Run(cl *cli) error {
	dumps, failed := cl.dumps()
	list := workspaceUsage(dumps)
	err := cl.print(list, func() {
		t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "WORKSPACE\tQUOTA\tBURST\tDEMAND\tLEFT\tPASSED\tREFUSED\tOWNER")
		for _, w := range list {
			fmt.Fprintf(t, "%s\t%s\t%s\t%.1f/s\t%.0f\t%d\t%d\t%s\n", w.Workspace, orNone(w.Rate, "/s"), orNone(w.Burst, ""), w.Demand, w.Level, w.Passed, w.Refused, w.Owner)
		}
		_ = t.Flush() // to the terminal
	})
	if err != nil {
		return err
	}
	return failed
}

func orNone(v float64, unit string) string {
	if v == 0 {
		return "none"
	}
	return fmt.Sprintf("%.0f%s", v, unit)
}

// workspaceUsage merges the workspaces' usage at the daemons into one entry for each workspace, sorted by name.
func workspaceUsage(dumps []daemon.Dump) []WorkspaceUsage {
	byName := map[string]*WorkspaceUsage{}
	for _, d := range dumps {
		for _, v := range d.Workspaces {
			w := byName[v.Workspace]
			if w == nil {
				w = &WorkspaceUsage{Workspace: v.Workspace, Rate: v.Rate, Burst: v.Burst, Level: v.Burst}
				byName[v.Workspace] = w
			}
			w.Passed += v.Passed
			w.Refused += v.Refused
			if v.Owned != nil {
				w.Owner, w.Demand, w.Level = d.ID, v.Owned.Demand, v.Owned.Level
			}
		}
	}
	list := make([]WorkspaceUsage, 0, len(byName))
	for _, w := range byName {
		list = append(list, *w)
	}
	slices.SortFunc(list, func(a, b WorkspaceUsage) int { return strings.Compare(a.Workspace, b.Workspace) })
	return list
}
