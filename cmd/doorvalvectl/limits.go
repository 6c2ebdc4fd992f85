package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/doorvalve/doorvalve/daemon"
)

type limitsCmd struct{}

// EndpointLimit is the rate limit that one endpoint reported, merged from the states of all daemons.
type EndpointLimit struct {
	Endpoint   string  `json:"endpoint"`
	Rate       float64 `json:"requests_per_second"`
	ReportedBy string  `json:"heard_by"` // daemon that received the endpoint's report
	Daemons    int     `json:"daemons"`  // number of daemons that hold the limit
	Demand     float64 `json:"demand_per_second"`
	Owner      string  `json:"owner"` // daemon that divides the limit among the daemons; empty if none of them does
}

// Run prints the endpoints that report a rate limit, from the states of all daemons at --address.
func (c *limitsCmd) Run(cl *cli) error {
	dumps, failed := cl.dumps()
	list := endpointLimits(dumps)
	err := cl.print(list, func() {
		t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "ENDPOINT\tLIMIT\tDEMAND\tKNOWN TO\tHEARD BY\tOWNER")
		for _, l := range list {
			fmt.Fprintf(t, "%s\t%g/s\t%.1f/s\t%d of %d\t%s\t%s\n", l.Endpoint, l.Rate, l.Demand, l.Daemons, len(dumps), l.ReportedBy, l.Owner)
		}
		_ = t.Flush() // to the terminal
	})
	if err != nil {
		return err
	}
	return failed
}

// endpointLimits merges the limits that the daemons hold into one entry for each endpoint, sorted by name.
func endpointLimits(dumps []daemon.Dump) []EndpointLimit {
	byName := map[string]*EndpointLimit{}
	for _, d := range dumps {
		for _, v := range d.Limits {
			l := byName[v.Endpoint]
			if l == nil {
				l = &EndpointLimit{Endpoint: v.Endpoint, Rate: v.Rate, ReportedBy: v.Reporter}
				byName[v.Endpoint] = l
			}
			l.Daemons++
			if v.Owned != nil {
				l.Owner, l.Demand = d.ID, v.Owned.Demand
			}
		}
	}
	list := make([]EndpointLimit, 0, len(byName))
	for _, l := range byName {
		list = append(list, *l)
	}
	slices.SortFunc(list, func(a, b EndpointLimit) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return list
}
