package quarantine

import (
	"fmt"
	"slices"
	"testing"

	"github.com/doorvalve/doorvalve/state/fleet"
)

const swA, swB = Software(1), Software(2)

// partCrash is the crash of an endpoint under a request with parts; those in served were served
// shortly before.
type partCrash struct {
	incarnation string
	at          float64
	on          Software
	parts       []string
	served      []string
	began       bool
}

func (c partCrash) observe(m *Machine) {
	for _, id := range c.parts {
		part := PartOf("llm", id)
		m.ObserveCrash(at(c.at), CrashedAttempt{Fingerprint: part.Fingerprint, Part: id, Software: c.on, Crash: Crash{
			Incarnation: fleet.Incarnation{ID: c.incarnation}, Sent: at(c.at - 0.05), At: at(c.at), Order: at(c.at).UnixMilli(),
			Doubtful: c.began, ServedBefore: slices.Contains(c.served, id), Software: c.on,
		}})
	}
}

// crashes returns n crashes, a tenth of a second apart, under requests with the given parts.
func crashes(n int, served []string, parts ...string) []partCrash {
	var list []partCrash
	for i := range n {
		list = append(list, partCrash{incarnation: fmt.Sprintf("%v%d", parts, i), at: 1 + float64(i)/10, on: swA, parts: parts, served: served})
	}
	return list
}

// Guards against a part that goes on crashing endpoints because no two requests with it are alike, and
// against sound parts that are held back for what came with them.
func TestWhichPartsAreHeldBack(t *testing.T) {
	first := []string{"first"}
	unlike := func(n int) []partCrash {
		var list []partCrash
		for i := range n {
			list = append(list, crashes(1, nil, "bad", fmt.Sprint("own", i))...)
		}
		return list
	}
	for _, c := range []struct {
		name    string
		crashes []partCrash
		held    []string // without a tie
		tied    []string
	}{
		{"two crashes may be chance", crashes(2, first, "first", "bad"), nil, nil},
		{"three crashes, the first part was served before", crashes(3, first, "first", "bad"), []string{"bad"}, nil},
		{"three crashes, nothing was served before", crashes(3, nil, "first", "bad"), nil, []string{"first", "bad"}},
		{"five crashes, nothing was served before", crashes(5, nil, "first", "bad"), []string{"first", "bad"}, nil},
		{"the bad part is the first", unlike(5), []string{"bad"}, nil},
		{"two bad parts at once", append(crashes(3, first, "first", "bad"), crashes(3, first, "first", "worse")...), []string{"bad", "worse"}, nil},
		{"a popular part on five endpoints that are lost", crashes(5, []string{"popular"}, "popular"), nil, nil},
		{"a part that was served until it became deadly", crashes(6, []string{"bad"}, "bad"), []string{"bad"}, nil},
		{"after an event each time", func() []partCrash {
			list := crashes(6, nil, "bad")
			for i := range list {
				list[i].began = true
			}
			return list
		}(), []string{"bad"}, nil},
		{"many requests at one endpoint", slices.Repeat(crashes(1, nil, "popular"), 9), nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New()
			for _, crash := range c.crashes {
				crash.observe(m)
			}
			var held, tied []string
			for _, a := range m.Held() {
				if a.Tied {
					tied = append(tied, a.Record.Part)
				} else {
					held = append(held, a.Record.Part)
				}
			}
			slices.Sort(held)
			slices.Sort(tied)
			slices.Sort(c.held)
			slices.Sort(c.tied)
			if !slices.Equal(held, c.held) || !slices.Equal(tied, c.tied) {
				t.Errorf("held back: %v, in a tie: %v", held, tied)
			}
		})
	}
}

// Guards against a part that stays held back though it has been answered since, and against one that
// one version's answers release for the version that it crashes.
func TestAnswersAcquitParts(t *testing.T) {
	bad := PartOf("llm", "bad").Fingerprint
	m := New()
	for _, c := range crashes(3, nil, "bad") {
		c.observe(m)
	}
	m.ObservePartSuccess(at(2), bad, swB)
	if a := m.Held()[bad]; !a.Held() || a.AllowedOn(swA) || !a.AllowedOn(swB) {
		t.Fatalf("answered by another version: %+v", a)
	}
	m.ObservePartSuccess(at(3), bad, swA)
	if m.Held()[bad].Held() {
		t.Fatal("answered by the version that had crashed, and still held back")
	}
	other := New()
	other.Merge(at(4), m.Top())
	if other.Digest() != m.Digest() || other.Held()[bad].Held() {
		t.Error("another daemon does not know of the answers")
	}
}

// Guards against probes of a part on each new version of the software, and against many of them.
func TestProbesOfAPartAreRare(t *testing.T) {
	m := New()
	for _, c := range crashes(3, []string{"first"}, "first", "bad") {
		c.observe(m)
	}
	bad, probes := PartOf("llm", "bad").Fingerprint, 0
	for s := 2.0; s < 600; s += 0.25 {
		if !m.GrantProbe(at(s), bad, Software(uint64(s)), true) {
			continue
		}
		probes++
		partCrash{incarnation: fmt.Sprint("p", s), at: s, on: swA, parts: []string{"first", "bad"}, served: []string{"first"}}.observe(m)
	}
	if probes == 0 || probes > 2 {
		t.Errorf("%d probes in ten minutes", probes)
	}
}
