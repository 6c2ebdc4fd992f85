package promptcache

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func engine(id string) fleet.Incarnation { return fleet.Incarnation{ID: id, StartUnixMs: 1} }

// The memory of prefixes is bounded in prefixes and in engines of each, and keeps those last used.
func TestPrefixesAreBounded(t *testing.T) {
	p := New()
	often := []protocol.PromptPart{{ID: "often", Tokens: 1}}
	for i := range 3 * maxPrefixes {
		p.Observe(start, "m", []protocol.PromptPart{{ID: fmt.Sprint(i), Tokens: 1}}, engine("a"))
		p.Observe(start, "m", often, engine(fmt.Sprint("e", i%50)))
	}
	if n := p.recent.Len(); n != maxPrefixes {
		t.Errorf("%d prefixes kept", n)
	}
	last := fmt.Sprint("e", (3*maxPrefixes-1)%50)
	if held := p.Held(start, "m", often); held.count != maxPrefixEngines || held.At(engine(last)) != 1 {
		t.Errorf("%d engines of one prefix, the last with %d tokens", held.count, held.At(engine(last)))
	}
	p.Retain(func(string, fleet.Incarnation) bool { return false })
	if n := p.recent.Len(); n != 0 {
		t.Errorf("%d prefixes without engines", n)
	}
}
