package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/daemon"
	standin "github.com/doorvalve/doorvalve/standin/platform"
)

type restCmd struct {
	Address  []string      `required:"" sep:"," help:"Operators' listeners of all daemons."`
	Pid      []int         `required:"" sep:"," help:"Process ids, in the same order."`
	Platform string        `required:"" help:"URL of the platform's stand-in."`
	Token    string        `default:"demo-anna" help:"Operator's token."`
	For      time.Duration `default:"20s" help:"How long to measure."`
	Varied   string        `default:"daemons" help:"What is varied."`
	X        float64       `required:"" help:"Its size."`
}

// sample holds the totals of one daemon at one time.
type sample struct {
	dump daemon.Dump
	cpu  time.Duration
	rss  float64 // MB
}

// Run prints CSV lines for each metric, with the mean of all daemons and with
// the largest value of any daemon: coordinators spend more than other daemons.
// For the platform it prints the calls and the writes a second in total.
func (c *restCmd) Run() error {
	before, countsBefore, err := c.sample()
	if err != nil {
		return err
	}
	time.Sleep(c.For)
	after, countsAfter, err := c.sample()
	if err != nil {
		return err
	}
	seconds := c.For.Seconds()
	row := func(role, metric, unit string, value func(a, b sample) float64) []point {
		sum, largest := 0.0, 0.0
		for i := range before {
			v := value(before[i], after[i])
			sum += v
			largest = max(largest, v)
		}
		return []point{{role, metric + ", mean", unit, c.Varied, c.X, sum / float64(len(before))}, {role, metric + ", most", unit, c.Varied, c.X, largest}}
	}
	points := row("membership", "peer traffic", "B/s", func(a, b sample) float64 {
		return float64(b.dump.Bytes.Peers.In+b.dump.Bytes.Peers.Out-a.dump.Bytes.Peers.In-a.dump.Bytes.Peers.Out) / seconds
	})
	points = append(points, row("endpoint reports", "endpoint traffic", "B/s", func(a, b sample) float64 {
		return float64(b.dump.Bytes.Endpoints.In+b.dump.Bytes.Endpoints.Out-a.dump.Bytes.Endpoints.In-a.dump.Bytes.Endpoints.Out) / seconds
	})...)
	points = append(points, row("platform", "platform traffic", "B/s", func(a, b sample) float64 {
		return float64(b.dump.Bytes.Platform.In+b.dump.Bytes.Platform.Out-a.dump.Bytes.Platform.In-a.dump.Bytes.Platform.Out) / seconds
	})...)
	points = append(points, row("daemon at rest", "processor", "% of a core", func(a, b sample) float64 { return 100 * (b.cpu - a.cpu).Seconds() / seconds })...)
	points = append(points, row("daemon at rest", "memory", "MB", func(_, b sample) float64 { return b.rss })...)
	calls := countsAfter.Reads + countsAfter.Writes + countsAfter.Watches + countsAfter.Hosts - countsBefore.Reads - countsBefore.Writes - countsBefore.Watches - countsBefore.Hosts
	points = append(points,
		point{"platform", "all calls", "1/s", c.Varied, c.X, float64(calls) / seconds},
		point{"platform", "writes", "1/s", c.Varied, c.X, float64(countsAfter.Writes-countsBefore.Writes) / seconds})
	return write(os.Stdout, points...)
}

// sample reads the totals of all daemons and the platform's counts.
func (c *restCmd) sample() ([]sample, standin.Counts, error) {
	var counts standin.Counts
	if err := getJSON(c.Platform+"/control/counts", "", &counts); err != nil {
		return nil, counts, err
	}
	list := make([]sample, len(c.Address))
	for i, a := range c.Address {
		if err := getJSON("http://"+a+"/debug/state", c.Token, &list[i].dump); err != nil {
			return nil, counts, err
		}
		var err error
		if list[i].cpu, list[i].rss, err = usage(c.Pid[i]); err != nil {
			return nil, counts, err
		}
	}
	return list, counts, nil
}

// getJSON decodes the answer to a GET request into v. Any status but 200 is an error.
func getJSON(url, token string, v any) error {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// clockTicks is USER_HZ, the unit of processor times in /proc in ticks a second:
// 100 on every Linux that Go supports.
const clockTicks = 100

// usage returns the processor time of a process so far and its resident memory in MB.
func usage(pid int) (cpu time.Duration, rssMB float64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, err1 := strconv.Atoi(fields[11])
	system, err2 := strconv.Atoi(fields[12])
	pages, err3 := strconv.Atoi(fields[21])
	for _, e := range []error{err1, err2, err3} {
		if e != nil {
			return 0, 0, e
		}
	}
	return time.Duration(user+system) * time.Second / clockTicks, float64(pages*os.Getpagesize()) / 1e6, nil
}
