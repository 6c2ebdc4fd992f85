package main

import (
	"errors"
	"os"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/daemon"
)

type inForceCmd struct {
	Address    []string `required:"" sep:"," help:"Operators' listeners of all daemons."`
	Generation uint64   `required:"" help:"Generation that was just accepted."`
	Token      string   `default:"demo-anna" help:"Operator's token."`
	X          float64  `required:"" help:"Number of daemons."`
}

// maxInForceWait is the longest time to wait for a generation.
const maxInForceWait = time.Minute

// Run prints the time until every daemon runs the generation. The time starts
// after the answer to the rollout, so the result is too short by at most the
// time that the answer took.
func (c *inForceCmd) Run() error {
	start := time.Now()
	var wg sync.WaitGroup
	failed := make([]bool, len(c.Address))
	for i, a := range c.Address {
		wg.Go(func() {
			for time.Since(start) < maxInForceWait {
				var d daemon.Dump
				if getJSON("http://"+a+"/debug/state", c.Token, &d) == nil && d.Generation >= c.Generation {
					return
				}
				time.Sleep(2 * time.Millisecond)
			}
			failed[i] = true
		})
	}
	wg.Wait()
	for _, f := range failed {
		if f {
			return errors.New("not in force everywhere within " + maxInForceWait.String())
		}
	}
	return write(os.Stdout, point{"configuration", "accepted until in force everywhere", "ms", "daemons", c.X, float64(time.Since(start).Microseconds()) / 1000})
}
