// Command doorvalve-bench measures doorvalve: its policies in virtual time, a
// daemon's cost beside a direct call, and the slopes that docs/CAPACITY.md is
// worked out from. It sends load to loopback addresses only.
package main

import (
	"github.com/alecthomas/kong"
)

type cli struct {
	Policy   policyCmd   `cmd:"" help:"Replay arrivals in virtual time under several policies."`
	Overload overloadCmd `cmd:"" help:"Replay twice the capacity in virtual time by order of admission."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Description("Measurements of doorvalve."))
	ctx.FatalIfErrorf(ctx.Run())
}
