// Command doorvalve-bench measures doorvalve: its policies in virtual time, the
// cost of a request through a daemon compared with a direct request, and how
// costs grow with the size of an installation, from which docs/CAPACITY.md is
// computed. It sends load to loopback addresses only.
package main

import (
	"github.com/alecthomas/kong"
)

type cli struct {
	Policy   policyCmd   `cmd:"" help:"Replay arrivals in virtual time under several policies."`
	Overload overloadCmd `cmd:"" help:"Replay twice the capacity in virtual time by order of admission."`
	Call     callCmd     `cmd:"" help:"Send one request; a small HTTP client for scripts."`
	Load     loadCmd     `cmd:"" help:"Send requests through a daemon and directly to an endpoint, and compare."`
	Rest     restCmd     `cmd:"" help:"Measure what running daemons spend while nothing is asked of them."`
	InForce  inForceCmd  `cmd:"" help:"Measure until a generation is in force everywhere."`
	Slopes   slopesCmd   `cmd:"" help:"Measure the state machines alone at several sizes."`
	Fit      fitCmd      `cmd:"" help:"Fit slopes, write the table and a plot of each."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Description("Measurements of doorvalve."))
	ctx.FatalIfErrorf(ctx.Run())
}
