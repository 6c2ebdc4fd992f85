package intake

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	start  = time.Unix(1000, 0)
	short  = Limits{HeadBytes: 1000, HeadTime: 2 * time.Second, IdleTime: 5 * time.Second}
	long   = Limits{HeadBytes: 50000, HeadTime: 10 * time.Second, IdleTime: 60 * time.Second}
	notice = 2 * time.Second
)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// Guards against limits that do not follow the desired state, and against connections that are cut by a change of
// limits while their callers keep to those that they know.
func TestConnectionKeepsToTheLimits(t *testing.T) {
	type step func(*Connection)
	receive := func(s float64, n int) step { return func(c *Connection) { c.Receive(at(s), n) } }
	change := func(s float64, l Limits) step {
		return func(c *Connection) { c.Change(at(s), l, c.earlier.Replace(at(s), c.limits, notice), notice) }
	}
	serve := func(c *Connection) { c.BeginRequest() }
	idleAgain := func(s float64, l Limits) step { return func(c *Connection) { c.BeginIdle(at(s), l, Earlier{}) } }
	begin := func(s float64) step { return func(c *Connection) { c.BeginHead(at(s)) } }
	for name, c := range map[string]struct {
		l     Limits
		steps []step
		open  float64 // the last moment at which it is open, in seconds; after it comes verdict
		then  Verdict
	}{
		"idle":                         {short, nil, 5.9, Expired},
		"idle after a request":         {short, []step{receive(1, 100), serve, idleAgain(4, short)}, 9.9, Expired},
		"slow head":                    {long, []step{receive(3, 100)}, 12.9, HeadTooSlow},
		"head byte by byte":            {short, []step{receive(1, 1), receive(1.5, 1), receive(2.5, 1)}, 2.9, HeadTooSlow},
		"head within a larger limit":   {long, []step{receive(0, 40000)}, 9.9, HeadTooSlow},
		"head without a byte yet":      {long, []step{begin(3), receive(5, 100)}, 12.9, HeadTooSlow},
		"head that begins twice":       {long, []step{receive(3, 100), begin(5)}, 12.9, HeadTooSlow},
		"request in progress":          {short, []step{receive(0, 100), serve}, 1e6, Open},
		"idle, longer limit":           {short, []step{change(1, long)}, 60.9, Expired},
		"idle, shorter limit":          {long, []step{change(20, short)}, 25.9, Expired},
		"idle, shorter than notice":    {long, []step{change(20, Limits{IdleTime: time.Second})}, 22.9, Expired},
		"idle, shorter near the end":   {long, []step{change(59, short)}, 60.9, Expired},
		"idle, no limit any more":      {short, []step{change(1, Limits{})}, 1e6, Open},
		"idle, a limit for the first":  {Limits{}, []step{change(9, short)}, 14.9, Expired},
		"head, longer limit":           {short, []step{receive(0, 100), change(1, long)}, 9.9, HeadTooSlow},
		"head, shorter limit":          {long, []step{receive(0, 2000), change(1, short)}, 9.9, HeadTooSlow},
		"head within the notice":       {long, []step{change(1, short), receive(1.9, 2000)}, 11.8, HeadTooSlow},
		"large head after the notice":  {long, []step{change(1, short), receive(2.1, 999)}, 4.0, HeadTooSlow},
		"head after a swift series":    {long, []step{change(1, short), change(1.5, Limits{HeadBytes: 900, HeadTime: time.Second}), receive(1.9, 2000)}, 11.8, HeadTooSlow},
		"change in series":             {short, []step{change(1, long), change(2, short), change(3, long)}, 60.9, Expired},
		"request, then shorter limits": {long, []step{receive(0, 10), serve, change(1, short), idleAgain(2, short)}, 7.9, Expired},
	} {
		t.Run(name, func(t *testing.T) {
			x := &Connection{}
			x.BeginIdle(start, c.l, Earlier{})
			for _, s := range c.steps {
				s(x)
			}
			if got := x.Check(at(c.open)); got != Open {
				t.Errorf("after %v s: %v, want it open", c.open, got)
			}
			if got := x.Check(at(c.open + 0.2)); got != c.then {
				t.Errorf("after %v s: %v, want %v", c.open+0.2, got, c.then)
			}
		})
	}
	t.Run("large head", func(t *testing.T) {
		x := &Connection{}
		x.BeginIdle(start, short, Earlier{})
		x.Receive(start, 999)
		if got := x.Check(start); got != Open {
			t.Errorf("999 bytes: %v", got)
		}
		x.Receive(start, 1)
		if got := x.Check(start); got != HeadTooLarge {
			t.Errorf("1000 bytes that are no whole head: %v", got)
		}
	})
}

// Whatever limits follow each other, a caller that keeps to the narrowest of those in force while it is idle or sends a
// head is never cut, and an idle connection ends at last.
func TestCallersWithinAllLimitsAreNeverCut(t *testing.T) {
	limits := rapid.Custom(func(t *rapid.T) Limits {
		second := func(most int) time.Duration {
			return time.Duration(1+rapid.IntRange(0, most).Draw(t, "s")) * time.Second
		}
		return Limits{HeadBytes: rapid.IntRange(100, 10000).Draw(t, "bytes"), HeadTime: second(10), IdleTime: second(60)}
	})
	rapid.Check(t, func(t *rapid.T) {
		now, l := start, limits.Draw(t, "first")
		c := &Connection{}
		c.BeginIdle(now, l, Earlier{})
		narrowest := l
		inHead := rapid.Bool().Draw(t, "in a head")
		sent := 0
		began := now
		if inHead {
			sent = rapid.IntRange(1, narrowest.HeadBytes-1).Draw(t, "sent")
			c.Receive(now, sent)
		}
		for range rapid.IntRange(0, 6).Draw(t, "changes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			l = limits.Draw(t, "next")
			narrowest = Limits{min(narrowest.HeadBytes, l.HeadBytes), min(narrowest.HeadTime, l.HeadTime), min(narrowest.IdleTime, l.IdleTime)}
			allowed := narrowest.IdleTime
			if inHead {
				allowed = narrowest.HeadTime
			}
			if now.Sub(began) >= allowed || inHead && sent >= narrowest.HeadBytes {
				break
			}
			c.Change(now, l, c.earlier.Replace(now, c.limits, notice), notice)
			if got := c.Check(now); got != Open {
				t.Fatalf("cut after %v within %+v: %v", now.Sub(began), narrowest, got)
			}
		}
		if got := c.Check(now.Add(2 * time.Minute)); got == Open {
			t.Fatal("never ends")
		}
	})
}

// Guards against refused requests that keep a daemon from stopping, or that go on without an end.
func TestDiscardTime(t *testing.T) {
	for _, c := range []struct {
		stopping   bool
		left, want time.Duration
	}{
		{false, 5 * time.Second, 5 * time.Second},
		{false, 0, minDiscardTime},
		{false, -time.Minute, minDiscardTime},
		{false, time.Hour, maxDiscardTime},
		{true, time.Hour, minDiscardTime},
	} {
		if got := DiscardTime(c.stopping, c.left); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// Guards against a stopping server that drops a request whose head has begun, or waits for idle connections.
func TestStoppingClosesIdleConnectionsOnly(t *testing.T) {
	now, limits := time.Now(), Limits{HeadBytes: 1000, HeadTime: 10 * time.Second, IdleTime: time.Minute}
	var c Connection
	c.BeginIdle(now, limits, Earlier{})
	c.Receive(now, 10)
	c.Stop(now)
	if v := c.Check(now.Add(9 * time.Second)); v != Open {
		t.Errorf("a head that has begun: %v", v)
	}
	c.BeginRequest()
	c.BeginIdle(now, limits, Earlier{})
	c.Change(now, limits, Earlier{}, time.Minute)
	if before, after := c.Check(now.Add(stoppingIdle-1)), c.Check(now.Add(stoppingIdle)); before != Open || after != Expired {
		t.Errorf("after the request: %v, then %v", before, after)
	}
	c = Connection{}
	c.BeginIdle(now, limits, Earlier{})
	c.Stop(now)
	if v := c.Check(now.Add(stoppingIdle)); v != Expired {
		t.Errorf("an idle connection: %v", v)
	}
}
