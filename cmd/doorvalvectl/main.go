// Command doorvalvectl is the operators' tool of doorvalve.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes for errors.
const (
	exitFailed         = 1 // the command was refused or could not be done
	exitOutcomeUnknown = 3 // no answer; the change may have been accepted
	exitConflict       = 4 // another change came first
)

type cli struct {
	Address []string `env:"DOORVALVE_ADDRESS" sep:"," placeholder:"IP:PORT" help:"Operators' listeners of daemons; the first that answers is used."`
	Token   string   `env:"DOORVALVE_TOKEN" help:"Operator's token; better given in the environment."`
	CA      string   `name:"ca" help:"PEM file with the certificate authority; switches to TLS."`
	Output  string   `short:"o" enum:"text,json" default:"text" help:"Output: text or json."`

	Bundle  bundleCmd  `cmd:"" help:"Check, compare, propose, read and sign off bundles."`
	Rollout rolloutCmd `cmd:"" help:"Bring a signed-off bundle into force."`
	Status  statusCmd  `cmd:"" help:"Show which daemon runs which generation."`
	History historyCmd `cmd:"" help:"Show the rollouts, newest first."`
	Drain   drainCmd   `cmd:"" help:"Take a host or an endpoint out of service."`
	Undrain undrainCmd `cmd:"" help:"Bring an endpoint back into service."`
	Dump    dumpCmd    `cmd:"" help:"Print the state of one or all daemons."`

	Limits     limitsCmd     `cmd:"" help:"Show endpoints that ask for fewer requests in their answers."`
	Paths      pathsCmd      `cmd:"" help:"Show which endpoints the daemons reach over their own path."`
	Workspaces workspacesCmd `cmd:"" help:"Show workspaces, what they use of their quota and what is refused."`

	Explain  explainCmd  `cmd:"" help:"Print what the daemons' logs tell of one request."`
	Settings settingsCmd `cmd:"" help:"Check a daemon's settings file."`
}

const description = `The operators' tool of doorvalve.

Examples:
  doorvalvectl bundle check site.hujson
  doorvalvectl bundle propose site.hujson --note "new hazard model"
  doorvalvectl bundle signoff 3f0a9c...        (by somebody else than the author)
  doorvalvectl rollout 3f0a9c... --expect 41   (41 is the generation in force)
  doorvalvectl status -o json
  doorvalvectl drain endpoint lm-w3
  doorvalvectl explain 418fea9a12e3acf5 host-1.log host-2.log

Exit codes: 0 done, 1 refused or failed, 3 no answer and perhaps accepted,
4 another change came first.`

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("doorvalvectl"), kong.Description(description), kong.UsageOnError())
	err := ctx.Run(&c)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var refused *refusedError
	switch {
	case errors.As(err, &refused) && refused.conflict():
		return exitConflict
	case errors.As(err, &refused) && refused.mayHaveRun(), errors.Is(err, errNoAnswer):
		return exitOutcomeUnknown
	default:
		return exitFailed
	}
}
