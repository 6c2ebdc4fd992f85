package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/doorvalve/doorvalve/coordination/rollout"
	"github.com/doorvalve/doorvalve/daemon"
	"github.com/doorvalve/doorvalve/settings"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/transport/operators"
)

type bundleCmd struct {
	Check   checkCmd   `cmd:"" help:"Check a file; all errors come at once."`
	Diff    diffCmd    `cmd:"" help:"Show what a file changes against the bundle in force."`
	Propose proposeCmd `cmd:"" help:"Store a checked file for review and print its digest."`
	Show    showCmd    `cmd:"" help:"Print a proposed bundle."`
	Signoff signoffCmd `cmd:"" help:"Sign an exact digest off; its author cannot."`
}

type checkCmd struct {
	File string `arg:"" help:"Bundle file, JSON with comments."`
}

// CheckResult is the result of checking a bundle or settings file.
type CheckResult struct {
	File   string        `json:"file"`
	OK     bool          `json:"ok"`
	Digest string        `json:"digest,omitempty"`
	Issues bundle.Issues `json:"issues,omitempty"`
}

// Run checks a bundle file and prints its digest, or returns its errors.
func (c *checkCmd) Run(cl *cli) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	_, err = bundle.Parse(c.File, content)
	checked := CheckResult{File: c.File, OK: err == nil}
	errors.As(err, &checked.Issues)
	if err == nil {
		checked.Digest = bundle.Digest(content)
	}
	if printErr := cl.print(checked, func() {
		if err == nil {
			fmt.Printf("%s: ok, digest %s\n", c.File, checked.Digest)
		}
	}); printErr != nil {
		return printErr
	}
	return err
}

type diffCmd struct {
	File string `arg:"" help:"Bundle file."`
}

// Run prints how a file differs from the bundle in force.
func (c *diffCmd) Run(cl *cli) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	next, err := bundle.Parse(c.File, content)
	if err != nil {
		return err
	}
	old, err := cl.inForce()
	if err != nil {
		return err
	}
	changes := bundle.Diff(old, next)
	return cl.print(changes, func() {
		for _, ch := range changes {
			fmt.Println(ch)
		}
		if len(changes) == 0 {
			fmt.Println("no difference")
		}
	})
}

// inForce returns the bundle in force, or an empty bundle before the first rollout.
func (c *cli) inForce() (*bundle.Bundle, error) {
	var p rollout.Pointer
	if err := c.get("/v1/history", &p); err != nil {
		return nil, err
	}
	if p.Generation == 0 {
		return &bundle.Bundle{}, nil
	}
	content, err := c.call(http.MethodGet, "/v1/bundles/"+p.Digest, nil)
	if err != nil {
		return nil, err
	}
	return bundle.Parse(p.Digest, content)
}

type proposeCmd struct {
	File string `arg:"" help:"Bundle file."`
	Note string `help:"What the change is for."`
}

// Run checks a file, stores it at the daemon for review and prints its digest.
func (c *proposeCmd) Run(cl *cli) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := bundle.Parse(c.File, content); err != nil {
		return err
	}
	answer, err := cl.call(http.MethodPost, "/v1/bundles?note="+url.QueryEscape(c.Note), content)
	if err != nil {
		return err
	}
	var p operators.ProposeResponse
	if err := json.Unmarshal(answer, &p); err != nil {
		return err
	}
	return cl.print(p, func() { fmt.Println(p.Digest) })
}

type showCmd struct {
	Digest string `arg:""`
}

// Run prints a proposed bundle byte for byte.
func (c *showCmd) Run(cl *cli) error {
	content, err := cl.call(http.MethodGet, "/v1/bundles/"+c.Digest, nil)
	if err == nil {
		fmt.Print(string(content))
	}
	return err
}

type signoffCmd struct {
	Digest string `arg:"" help:"The whole digest that was reviewed."`
}

// Run signs off the bundle with the digest.
func (c *signoffCmd) Run(cl *cli) error {
	_, err := cl.call(http.MethodPost, "/v1/bundles/"+c.Digest+"/signoff", nil)
	return err
}

type rolloutCmd struct {
	Digest string `arg:"" help:"A signed-off digest."`
	Expect uint64 `required:"" help:"Generation that you saw in force; a race is refused."`
}

// Run rolls out a signed-off bundle and prints the generation that it becomes.
func (c *rolloutCmd) Run(cl *cli) error {
	body, err := json.Marshal(operators.RolloutRequest{Digest: c.Digest, Expected: c.Expect})
	if err != nil {
		return err
	}
	answer, err := cl.call(http.MethodPost, "/v1/rollout", body)
	if err != nil {
		return err
	}
	var step rollout.Step
	if err := json.Unmarshal(answer, &step); err != nil {
		return err
	}
	return cl.print(step, func() { fmt.Printf("generation %d accepted\n", step.Generation) })
}

type statusCmd struct{}

// Run prints the daemons that the answering daemon lists, with the generation each runs.
func (*statusCmd) Run(cl *cli) error {
	var s operators.Status
	if err := cl.get("/v1/status", &s); err != nil {
		return err
	}
	return cl.print(s, func() {
		w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "DAEMON\tFAILURE DOMAIN\tCALLERS\tSTATUS\tLEAVING\tGENERATION")
		for _, m := range s.Daemons {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%d\n", m.ID, m.FailureDomain, m.CallerAddress, m.Status, m.Leaving, m.Generation)
		}
		_ = w.Flush()
	})
}

type historyCmd struct{}

// Run prints the rollouts, newest first.
func (*historyCmd) Run(cl *cli) error {
	var p rollout.Pointer
	if err := cl.get("/v1/history", &p); err != nil {
		return err
	}
	return cl.print(p, func() {
		w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "GENERATION\tDIGEST\tAUTHOR\tSIGNED BY\tROLLED OUT BY\tAT")
		for _, s := range append([]rollout.Step{p.Step}, p.History...) {
			_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", s.Generation, rollout.Short(s.Digest), s.Author, strings.Join(s.SignedBy, ","), s.RolledBy, s.At.Format("2006-01-02 15:04:05"))
		}
		_ = w.Flush()
	})
}

type drainCmd struct {
	Endpoint drainEndpointCmd `cmd:"" help:"No new work for an endpoint."`
	Host     drainHostCmd     `cmd:"" help:"Graceful shutdown of the daemon at --address."`
}

type drainEndpointCmd struct {
	Name string `arg:""`
}

// Run drains an endpoint.
func (c *drainEndpointCmd) Run(cl *cli) error {
	_, err := cl.call(http.MethodPost, "/v1/endpoints/"+url.PathEscape(c.Name)+"/drain", nil)
	return err
}

type drainHostCmd struct{}

// Run begins the graceful shutdown of the daemon at --address, which must be exactly one.
func (*drainHostCmd) Run(cl *cli) error {
	if len(cl.Address) != 1 {
		return errors.New("name exactly one daemon with --address")
	}
	_, err := cl.call(http.MethodPost, "/v1/stop", nil)
	return err
}

type undrainCmd struct {
	Name string `arg:"" help:"Endpoint."`
}

// Run undoes the drain of an endpoint.
func (c *undrainCmd) Run(cl *cli) error {
	_, err := cl.call(http.MethodPost, "/v1/endpoints/"+url.PathEscape(c.Name)+"/drain?on=false", nil)
	return err
}

type dumpCmd struct {
	All bool `help:"Every daemon named by --address, not only the first that answers."`
}

// Run prints the state of one or all daemons as JSON.
func (c *dumpCmd) Run(cl *cli) error {
	cl.Output = "json"
	if !c.All {
		var d daemon.Dump
		if err := cl.get("/debug/state", &d); err != nil {
			return err
		}
		return cl.print(d, nil)
	}
	dumps, failed := cl.dumps()
	if err := cl.print(dumps, nil); err != nil {
		return err
	}
	return failed
}

// dumps returns the states of all daemons that answer, and an error that joins
// the failures of the others.
func (c *cli) dumps() ([]daemon.Dump, error) {
	list, err := c.clients()
	if err != nil {
		return nil, err
	}
	var dumps []daemon.Dump
	var failed []error
	for _, cl := range list {
		var d daemon.Dump
		answer, err := cl.call(http.MethodGet, "/debug/state", nil)
		if err == nil {
			err = json.Unmarshal(answer, &d)
		}
		if err != nil {
			failed = append(failed, fmt.Errorf("%s: %w", cl.base, err))
			continue
		}
		dumps = append(dumps, d)
	}
	return dumps, errors.Join(failed...)
}

type settingsCmd struct {
	Check settingsCheckCmd `cmd:"" help:"Check a file; all errors come at once."`
}

type settingsCheckCmd struct {
	File string `arg:""`
}

// Run checks a settings file.
func (c *settingsCheckCmd) Run(cl *cli) error {
	_, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	return cl.print(CheckResult{File: c.File, OK: true}, func() { fmt.Printf("%s: ok\n", c.File) })
}
