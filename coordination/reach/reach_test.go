package reach

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// newTable returns a table with n listed addresses, "a0" to "aN".
func newTable(n int) *Table {
	t := New("z1", 1)
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("a%d", i))
	}
	t.SetAddresses(list)
	return t
}

func TestPathOfAnAddress(t *testing.T) {
	const address = "a0"
	later := start.Add(relayPause)
	for _, c := range []struct {
		name   string
		events func(t *Table)
		at     time.Time
		path   Path
		lost   bool
	}{
		{"nothing is known", func(*Table) {}, start, Direct, false},
		{"refused", func(t *Table) { t.ObserveFailed(start, address, Refused) }, start, OpenOrRelayed, false},
		{"silent", func(t *Table) { t.ObserveFailed(start, address, Silent) }, start, Relayed, false},
		{"silent, and relayed", func(t *Table) {
			t.ObserveFailed(start, address, Silent)
			t.ObserveRelay(start, address, "d1", Opened)
		}, start, Relayed, true},
		{"no relay either", func(t *Table) { t.ObserveFailed(start, address, Refused); t.ObserveNoRelay(start, address) }, start, None, false},
		{"no relay either, later", func(t *Table) { t.ObserveFailed(start, address, Refused); t.ObserveNoRelay(start, address) }, later, OpenOrRelayed, false},
		{"relayed, then no more", func(t *Table) {
			t.ObserveFailed(start, address, Refused)
			t.ObserveRelay(start, address, "d1", Opened)
			t.ObserveNoRelay(start, address)
		}, start, None, false},
		{"regained", func(t *Table) { t.ObserveFailed(start, address, Silent); t.ObserveOpened(start, address) }, start, Direct, false},
		{"not listed any more", func(t *Table) { t.ObserveFailed(start, address, Silent); t.SetAddresses(nil) }, start, Direct, false},
		{"another address", func(t *Table) { t.ObserveFailed(start, "a1", Silent) }, start, Direct, false},
	} {
		table := newTable(2)
		c.events(table)
		if path, lost := table.Path(c.at, address), table.Lost(address); path != c.path || lost != c.lost {
			t.Errorf("%s: path %v, lost %v; want %v, %v", c.name, path, lost, c.path, c.lost)
		}
	}
}

func TestPartitionedNeedsARelay(t *testing.T) {
	for _, c := range []struct {
		lost, relayed int
		partitioned   bool
	}{{0, 0, false}, {2, 2, false}, {3, 0, false}, {3, 1, true}, {4, 0, false}, {4, 4, true}} {
		table := newTable(4)
		for i := range c.lost {
			table.ObserveFailed(start, fmt.Sprintf("a%d", i), Refused)
		}
		for i := range c.relayed {
			table.ObserveRelay(start, fmt.Sprintf("a%d", i), "d1", Opened)
		}
		if got := table.PartitionedFromAll(); got != c.partitioned {
			t.Errorf("%d of 4 paths lost, %d relayed: partitioned %v", c.lost, c.relayed, got)
		}
	}
}

func TestChoiceOfARelay(t *testing.T) {
	members := []Relay{{ID: "stopping", FailureDomain: "z1", Stopping: true}, {ID: "near", FailureDomain: "z1"}, {ID: "far", FailureDomain: "z2"}}
	for _, c := range []struct {
		name   string
		events func(t *Table)
		asked  []string
		want   string // empty: none
	}{
		{"near first", func(*Table) {}, nil, "near"},
		{"asked before", func(*Table) {}, []string{"near"}, "far"},
		{"only a stopping one is left", func(*Table) {}, []string{"near", "far"}, "stopping"},
		{"all asked before", func(*Table) {}, []string{"near", "far", "stopping"}, ""},
		{"busy", func(t *Table) { t.ObserveRelay(start, "a0", "near", Busy) }, nil, "far"},
		{"an older version", func(t *Table) { t.ObserveRelay(start, "a0", "near", Unsupported) }, nil, "far"},
		{"partitioned itself", func(t *Table) { t.SetPartitioned("near", true) }, nil, "far"},
		{"healed", func(t *Table) { t.SetPartitioned("near", true); t.SetPartitioned("near", false) }, nil, "near"},
		{"does not reach the address", func(t *Table) {
			t.ObserveFailed(start, "a0", Refused)
			t.ObserveRelay(start, "a0", "near", Unreached)
		}, nil, "far"},
		{"does not reach another address", func(t *Table) {
			t.ObserveFailed(start, "a1", Refused)
			t.ObserveRelay(start, "a1", "near", Unreached)
		}, nil, "near"},
		{"full", func(t *Table) {
			for range farCost + 1 {
				t.ObserveRelay(start, "a0", "near", Opened)
			}
		}, nil, "far"},
	} {
		table := newTable(2)
		c.events(table)
		if relay, _ := table.Choose(start, "a0", members, c.asked); relay.ID != c.want {
			t.Errorf("%s: %q chosen, want %q", c.name, relay.ID, c.want)
		}
	}
}

func TestRelayedConnectionsAreSpreadByCapacity(t *testing.T) {
	table := newTable(1)
	members := []Relay{{ID: "small", FailureDomain: "z1", Capacity: 200}, {ID: "large", FailureDomain: "z1", Capacity: 800}, {ID: "far", FailureDomain: "z2", Capacity: 800}}
	counts := map[string]int{}
	for range 360 {
		relay, _ := table.Choose(start, "a0", members, nil)
		table.ObserveRelay(start, "a0", relay.ID, Opened)
		counts[relay.ID]++
	}
	if counts["small"] > 60 || counts["large"] < 120 || counts["far"] < 120 {
		t.Errorf("connections by relay: %v", counts)
	}
	for id, n := range counts {
		for range n {
			table.RelayClosed(id)
		}
	}
	if table.SetMembers(nil) || len(table.peers) > 0 {
		t.Errorf("state of %d daemons is kept that have left", len(table.peers))
	}
}

// A daemon that has lost hundreds of paths tries a few at a time, and all others soon after one works.
func TestTrialsAreBounded(t *testing.T) {
	table := newTable(600)
	for a := range table.addresses {
		table.ObserveFailed(start, a, Silent)
	}
	now, trials := start, 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		list := table.Trials(now)
		trials += len(list)
		for _, a := range list {
			table.TrialEnded(now, a)
		}
	}
	if trials > 100*maxTrials {
		t.Errorf("%d trials in 10 s", trials)
	}
	healed := now
	for _, lost := table.Counts(); lost > 0; _, lost = table.Counts() {
		now = now.Add(10 * time.Millisecond)
		for _, a := range table.Trials(now) {
			table.ObserveOpened(now, a)
		}
	}
	if took := now.Sub(healed); took > time.Second {
		t.Errorf("all paths were regained %v after the partition", took)
	}
}

func TestSilentConnectionIsCheckedOnceInAWhile(t *testing.T) {
	table := newTable(1)
	if !table.StartCheck(start, "a0") || table.StartCheck(start, "a0") || !table.StartCheck(start.Add(checkInterval), "a0") {
		t.Error("want one check in each interval")
	}
	table.ObserveFailed(start, "a0", Silent)
	table.ObserveRelay(start, "a0", "d1", Opened)
	if table.StartCheck(start.Add(2*checkInterval), "a0") || table.StartCheck(start, "other") {
		t.Error("a lost path or an address that is not listed was checked")
	}
}

// Guards against requests that wait on a silent path for their whole time because the few daemons that
// were asked had no path either, and no others were asked afterwards.
func TestUnconfirmedPathIsCheckedAgain(t *testing.T) {
	table := newTable(1)
	table.StartCheck(start, "a0")
	table.ObserveFailed(start, "a0", Silent)
	table.ObserveRelay(start, "a0", "d1", Unreached)
	table.ObserveNoRelay(start, "a0")
	if table.StartCheck(start.Add(confirmInterval/2), "a0") || !table.StartCheck(start.Add(confirmInterval), "a0") {
		t.Error("want that a path which may be lost is checked again, once in each interval")
	}
}

// Guards against requests that are refused for the rest of a pause after a daemon with a path has
// started, or has regained it: each round of questions without a relay doubles the pause.
func TestNewPathEndsThePause(t *testing.T) {
	for name, event := range map[string]func(*Table){
		"daemon starts": func(t *Table) { t.SetMembers([]Relay{{ID: "d1"}, {ID: "d2"}}) },
		"daemon heals":  func(t *Table) { t.SetPartitioned("d1", false) },
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(1)
			table.SetMembers([]Relay{{ID: "d1"}})
			table.SetPartitioned("d1", true)
			table.ObserveFailed(start, "a0", Refused)
			table.ObserveNoRelay(start, "a0")
			table.SetMembers([]Relay{{ID: "d1"}})
			if got := table.Path(start, "a0"); got != None {
				t.Fatalf("path %v in the pause", got)
			}
			event(table)
			if got := table.Path(start, "a0"); got != OpenOrRelayed {
				t.Errorf("path %v, want that relays are asked", got)
			}
		})
	}
}

// Guards against requests that find no relay because the daemons of a failure domain that is cut off
// ask each other: each connection asks a few daemons only, and the near ones came first.
func TestSearchLeavesACutDomain(t *testing.T) {
	for _, daemons := range []int{7, 24, 375} {
		var members []Relay
		for i := 1; i < daemons; i++ {
			members = append(members, Relay{ID: fmt.Sprint(i), FailureDomain: fmt.Sprintf("z%d", i%3)})
		}
		table := New("z0", 1)
		table.SetAddresses([]string{"a0"})
		table.ObserveFailed(start, "a0", Refused)
		const connections = 20 // within a second
		asks := 0
		for i := range connections {
			var asked []string
			for opened := false; !opened; asks++ {
				relay, ok := table.Choose(start.Add(time.Duration(i)*unreachedFor/(connections+1)), "a0", members, asked)
				if !ok || len(asked) == 2 {
					t.Fatalf("%d daemons: connection %d found no relay, asked %v", daemons, i, asked)
				}
				asked = append(asked, relay.ID)
				result := Opened
				if relay.FailureDomain == "z0" {
					result = Unreached
				}
				opened = result == Opened
				table.ObserveRelay(start, "a0", relay.ID, result)
			}
		}
		if asks > connections+2 {
			t.Errorf("%d daemons: %d were asked for %d connections", daemons, asks, connections)
		}
	}
}

// Guards against a crowd of relayed connections at few daemons: a whole failure domain is cut off, and
// each of its daemons knows only its own connections.
func TestRelayedConnectionsOfManyDaemonsAreSpread(t *testing.T) {
	for _, daemons := range []int{6, 24, 375} {
		var members []Relay
		for i := range daemons {
			members = append(members, Relay{ID: fmt.Sprint(i), FailureDomain: fmt.Sprintf("z%d", i%3)})
		}
		const connections = 8 // of each daemon
		counts := map[string]int{}
		for i := 0; i < daemons; i += 3 {
			table := New("z0", uint64(i))
			table.SetAddresses([]string{"a0"})
			table.ObserveFailed(start, "a0", Refused)
			for j := 0; j < daemons; j += 3 { // the daemons of one domain have told each other
				table.SetPartitioned(fmt.Sprint(j), true)
			}
			for range connections {
				relay, ok := table.Choose(start, "a0", members, nil)
				if !ok || table.IsPartitioned(relay.ID) {
					t.Fatalf("%d daemons: relay %q chosen", daemons, relay.ID)
				}
				table.ObserveRelay(start, "a0", relay.ID, Opened)
				counts[relay.ID]++
			}
		}
		for id, n := range counts {
			if n > 3*connections { // half of connections is the mean
				t.Errorf("%d daemons: %d connections at %s", daemons, n, id)
			}
		}
	}
}
