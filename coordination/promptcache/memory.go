// Package promptcache remembers which engine has processed which prompt prefix, so that requests that
// share it can be sent there: an engine does not process again what its cache holds. A Memory is a
// state machine without I/O: callers pass the time. It is bounded and not safe for concurrent use.
package promptcache

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// maxPrefixes bounds the remembered prompt prefixes of a daemon, some 0.5 MB.
	maxPrefixes = 2048
	// maxPrefixEngines bounds the engines remembered for one prefix; the most recent ones are kept.
	maxPrefixEngines = 8
	// HeldFor is how long an engine is assumed to hold a prefix after its last use: at 1.6
	// requests of 5,000 tokens a second, a cache of 232,000 tokens is replaced in 29 s.
	HeldFor = 30 * time.Second
)

// Memory remembers which engine has processed which prompt prefix: the least recently used one is
// dropped for a new one. A prefix is identified by the hash of the unit and the ids of its parts.
type Memory struct {
	recent *simplelru.LRU[uint64, *prefix]
}

type prefix struct {
	unit    string
	engines []prefixEngine // last used first
}

type prefixEngine struct {
	incarnation fleet.Incarnation
	usedAt      time.Time
}

// New returns an empty memory.
func New() Memory {
	recent, err := simplelru.NewLRU[uint64, *prefix](maxPrefixes, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return Memory{recent: recent}
}

// nextKey returns the key of a prefix that is one part longer than the one with the given key.
func nextKey(key uint64, id string) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // makes the order of the parts matter
	return (key ^ xxhash.Sum64String(id)) * multiplier
}

// Observe records that an engine has processed a prompt.
func (p Memory) Observe(now time.Time, unit string, parts []protocol.PromptPart, engine fleet.Incarnation) {
	key := xxhash.Sum64String(unit)
	for _, part := range parts {
		key = nextKey(key, part.ID)
		known, ok := p.recent.Get(key)
		if !ok {
			known = &prefix{unit: unit}
			p.recent.Add(key, known)
		}
		known.use(now, engine)
	}
}

func (p *prefix) use(now time.Time, engine fleet.Incarnation) {
	i := slices.IndexFunc(p.engines, func(e prefixEngine) bool { return e.incarnation == engine })
	switch {
	case i >= 0:
	case len(p.engines) < maxPrefixEngines:
		p.engines = append(p.engines, prefixEngine{})
		i = len(p.engines) - 1
	default:
		i = maxPrefixEngines - 1
	}
	copy(p.engines[1:i+1], p.engines[:i])
	p.engines[0] = prefixEngine{incarnation: engine, usedAt: now}
}

// HeldPrompt is how many tokens of one prompt engines hold.
type HeldPrompt struct {
	engines [maxPrefixEngines]fleet.Incarnation
	tokens  [maxPrefixEngines]int
	count   int
}

// Held returns the tokens of a prompt that engines hold, by the longest prefixes remembered.
func (p Memory) Held(now time.Time, unit string, parts []protocol.PromptPart) (out HeldPrompt) {
	key, tokens := xxhash.Sum64String(unit), 0
	for _, part := range parts {
		key = nextKey(key, part.ID)
		known, ok := p.recent.Get(key)
		if !ok {
			break
		}
		tokens += part.Tokens
		for _, e := range known.engines {
			if now.Sub(e.usedAt) < HeldFor {
				out.set(e.incarnation, tokens)
			}
		}
	}
	return out
}

func (h *HeldPrompt) set(engine fleet.Incarnation, tokens int) {
	for i := range h.count {
		if h.engines[i] == engine {
			h.tokens[i] = tokens
			return
		}
	}
	if h.count < len(h.engines) {
		h.engines[h.count], h.tokens[h.count] = engine, tokens
		h.count++
	}
}

// At returns the tokens that an engine holds.
func (h *HeldPrompt) At(engine fleet.Incarnation) int {
	for i := range h.count {
		if h.engines[i] == engine {
			return h.tokens[i]
		}
	}
	return 0
}

// Forget removes an engine from the prefixes of a unit. It keeps the prefixes' order of use.
func (p Memory) Forget(unit string, engine fleet.Incarnation) {
	p.Retain(func(u string, e fleet.Incarnation) bool { return u != unit || e != engine })
}

// Retain removes the engines that keep rejects, and prefixes without engines.
func (p Memory) Retain(keep func(unit string, engine fleet.Incarnation) bool) {
	for _, key := range p.recent.Keys() {
		known, _ := p.recent.Peek(key)
		known.engines = slices.DeleteFunc(known.engines, func(e prefixEngine) bool { return !keep(known.unit, e.incarnation) })
		if len(known.engines) == 0 {
			p.recent.Remove(key)
		}
	}
}
