package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

var (
	start = time.Unix(1_000_000, 0)
	v1    = SoftwareOf("llm", "m1", "1")
	v2    = SoftwareOf("llm", "m1", "2")
)

func printOf(name string) protocol.Fingerprint {
	return protocol.FingerprintOf("POST", "/x", "", "caller", []byte(name))
}

// seen is an attempt of a request that ended with its endpoint, in seconds.
type seen struct {
	request, life string
	sent, at      float64
	began         bool
}

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func (s seen) report() CrashedAttempt {
	return CrashedAttempt{Fingerprint: printOf(s.request), Software: v1, Crash: Crash{Incarnation: fleet.Incarnation{ID: s.life}, Sent: at(s.sent), At: at(s.at), Order: at(s.at).UnixMilli(), Doubtful: s.began, Attempts: s.attempts()}}
}

// attempts tags the attempt by when it was sent: told again, it is the same one.
func (s seen) attempts() []uint32 {
	if s.began {
		return nil
	}
	return []uint32{AttemptTag(fmt.Sprint(s.request, s.sent))}
}

func after(list ...seen) *Machine {
	m := New()
	for _, s := range list {
		m.ObserveCrash(at(s.at), s.report())
	}
	return m
}

// crasher is a request that ended three engines, each 0.1 s after it was sent there.
var crasher = []seen{{"bad", "e1", 1, 1.1, false}, {"bad", "e2", 1.1, 1.2, false}, {"bad", "e3", 3, 3.1, false}}

func TestWhoIsHeldBack(t *testing.T) {
	for _, c := range []struct {
		name string
		seen []seen
		held []string
	}{
		{"two ends may be chance", crasher[:2], nil},
		{"three ends", crasher, []string{"bad"}},
		{"one life, told three times", []seen{{"bad", "e1", 1, 1.1, false}, {"bad", "e1", 1, 1.1, false}, {"bad", "e1", 1.05, 1.15, false}}, nil},
		{"three lives of an endpoint that does not tell them apart", []seen{{"bad", "e1", 1, 1.1, false}, {"bad", "e1", 4, 4.1, false}, {"bad", "e1", 7, 7.1, false}}, []string{"bad"}},
		{"five ends in the middle of its answers", []seen{{"long", "e1", 1, 2, true}, {"long", "e2", 2, 3, true}, {"long", "e3", 3, 4, true}, {"long", "e4", 4, 5, true}, {"long", "e5", 5, 6, true}}, nil},
		{"six ends in the middle of its answers", []seen{{"long", "e1", 1, 2, true}, {"long", "e2", 2, 3, true}, {"long", "e3", 3, 4, true}, {"long", "e4", 4, 5, true}, {"long", "e5", 5, 6, true}, {"long", "e6", 6, 7, true}}, []string{"long"}},
		{"a popular request on engines that are lost together", []seen{{"popular", "e1", 0.2, 1, false}, {"popular", "e2", 0.3, 1, false}, {"popular", "e3", 0.4, 1.01, false}}, nil},
		{"three copies at once of a request that ends engines", []seen{{"bad", "e1", 1, 1.1, false}, {"bad", "e2", 1.01, 1.11, false}, {"bad", "e3", 1.02, 1.12, false}}, []string{"bad"}},
		{"beside a request that ends engines, resumed with it", append([]seen{{"beside", "e1", 0.2, 1.1, true}, {"beside", "e2", 1.1, 1.2, false}}, crasher...), []string{"bad"}},
		{"three attempts of three daemons that ended with one engine", []seen{{"bad", "e1", 1, 1.1, false}, {"bad", "e1", 1.01, 1.1, false}, {"bad", "e1", 1.02, 1.1, false}}, []string{"bad"}},
		{"one attempt and then two together", []seen{{"bad", "e1", 1, 1.1, false}, {"bad", "e2", 5, 5.1, false}, {"bad", "e2", 5.05, 5.1, false}}, []string{"bad"}},
		{"two attempts that ended with one engine", []seen{{"bad", "e1", 1, 1.1, false}, {"bad", "e1", 1.01, 1.1, false}}, nil},
		{"many answers under way at one engine that ends", []seen{{"long", "e1", 1, 2, true}, {"long", "e1", 1.1, 2, true}, {"long", "e1", 1.2, 2, true}, {"long", "e1", 1.3, 2, true}}, nil},
		{
			"beside two such requests, one after the other",
			append([]seen{
				{"beside", "e2", 1.1, 1.2, false}, {"beside", "e3", 3, 3.1, false}, {"beside", "f1", 5, 5.1, false},
				{"worse", "f1", 5, 5.1, false}, {"worse", "f2", 6, 6.1, false}, {"worse", "f3", 7, 7.1, false}, {"worse", "f4", 7, 7.1, false},
				{"bad", "e4", 3, 3.2, false},
			}, crasher...),
			[]string{"bad", "worse"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := after(c.seen...)
			want := map[protocol.Fingerprint]bool{}
			for _, name := range c.held {
				want[printOf(name)] = true
			}
			held := m.Held()
			for _, s := range c.seen {
				if _, is := held[printOf(s.request)]; is != want[printOf(s.request)] {
					t.Errorf("%s: held back %v, blame %d", s.request, is, m.standing(m.cases[printOf(s.request)]).Suspicion)
				}
			}
		})
	}
}

// In ten minutes after the third end, a request that ends engines has two trials; each
// one lets a single request of all daemons through.
func TestTrialsGrowRare(t *testing.T) {
	m := after(crasher...)
	print, trials := printOf("bad"), []float64{}
	for s := 3.2; s < 3600; s += 0.25 {
		if !m.GrantProbe(at(s), print, v1) {
			continue
		}
		if m.GrantProbe(at(s), print, v1) {
			t.Fatal("a second one went through with it")
		}
		trials = append(trials, s)
		m.ObserveCrash(at(s+0.1), seen{"bad", fmt.Sprint("t", s), s, s + 0.1, false}.report())
	}
	if len(trials) < 4 || trials[0] < 60 || trials[1] > 600 || trials[2] < 600 {
		t.Fatalf("trials at %v s", trials)
	}
}

func TestNewSoftwareIsTriedAtOnce(t *testing.T) {
	m := after(crasher...)
	print := printOf("bad")
	switch {
	case m.GrantProbe(at(4), print, v1):
		t.Fatal("the same software was tried at once")
	case !m.GrantProbe(at(4), print, v2):
		t.Fatal("a new version was not tried")
	case m.GrantProbe(at(5), print, v2):
		t.Fatal("it was tried twice")
	case !m.GrantProbe(at(6), print, SoftwareOf("next")) || !m.GrantProbe(at(6), print, SoftwareOf("last")):
		t.Fatal("a new service was not tried")
	case m.GrantProbe(at(7), print, SoftwareOf("one more")):
		t.Fatal("software that changes again and again was tried each time")
	}
}

func TestServedRequestsAreForgiven(t *testing.T) {
	m := after(crasher...)
	print := printOf("bad")
	m.ObserveSuccess(at(4), print, at(2.5)) // sent before the last end
	if len(m.Held()) != 0 {
		t.Fatal("an answer did not make up for an end")
	}
	m.ObserveCrash(at(5.1), seen{"bad", "e4", 5, 5.1, false}.report())
	if len(m.Held()) != 1 {
		t.Fatal("an answer made up for more than one end")
	}
	if !m.GrantProbe(at(70), print, v1) {
		t.Fatal("no trial")
	}
	m.ObserveSuccess(at(71), print, at(70))
	if len(m.Held()) != 0 || m.cases[print].endsLeft() != 0 {
		t.Fatal("it passed its trial and is held back")
	}
	m.Merge(at(42), []Record{{Fingerprint: print, Crashes: []Crash{crasher[0].report().Crash}}})
	if m.cases[print].endsLeft() != 0 {
		t.Fatal("another daemon's older word undid it")
	}
}

// A request that ends every second engine is held back in the end.
func TestSometimesCrashing(t *testing.T) {
	m := New()
	for i := range 40 {
		s := float64(i)
		m.ObserveCrash(at(s+0.1), seen{"bad", fmt.Sprint("a", i), s, s + 0.1, false}.report())
		m.ObserveCrash(at(s+0.3), seen{"bad", fmt.Sprint("b", i), s + 0.2, s + 0.3, false}.report())
		if len(m.Held()) == 1 {
			return
		}
		m.ObserveSuccess(at(s+0.5), printOf("bad"), at(s+0.4))
	}
	t.Fatal("never held back")
}

// A flood of requests that each end one endpoint takes bounded memory and does not push
// out what is held back.
func TestFloodIsBounded(t *testing.T) {
	m := after(crasher...)
	for i := range 5 * mostCases {
		s := 4 + float64(i)/100
		m.ObserveCrash(at(s), seen{fmt.Sprint("flood", i), fmt.Sprint("f", i), s - 0.1, s, false}.report())
	}
	if m.Len() > mostCases || len(m.byLife) > mostCases*mostEnds {
		t.Fatalf("%d cases, %d lives", m.Len(), len(m.byLife))
	}
	if !m.held[printOf("bad")].Held() {
		t.Fatal("the request that is held back was forgotten")
	}
	if news, more := m.TakePending(); len(news) != MaxPerMessage || !more {
		t.Fatalf("%d cases in one message, more: %v", len(news), more)
	}
	if all := m.Top(); len(all) != MaxPerMessage || all[0].Fingerprint != printOf("bad") {
		t.Fatalf("a daemon that starts is told %d cases, not the one that is held back first", len(all))
	}
}

func TestCasesAreForgotten(t *testing.T) {
	m := after(crasher...)
	m.Expire(at(3.2).Add(Retention))
	if m.Len() != 0 || len(m.Held()) != 0 || len(m.byLife) != 0 {
		t.Fatal("something is left")
	}
	m.Merge(at(3.2).Add(Retention), []Record{{Fingerprint: printOf("bad"), Crashes: []Crash{crasher[0].report().Crash}}})
	if m.Len() != 0 {
		t.Fatal("it came back")
	}
}
