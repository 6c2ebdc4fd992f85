package quarantiner

import (
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/protocol"
)

const (
	// servedSlots bounds the requests and parts that are known to have been served recently: 128 KB.
	// At 20 requests a second, which is the share of each of 370 daemons in 7,100, the entries last
	// for some minutes.
	servedSlots = 16384
	// servedFor is how long a request counts as served recently, and partServedFor a part of prompts:
	// requests with a rare part are further apart.
	servedFor     = 30 * time.Second
	partServedFor = 2 * time.Minute
)

// onSoftware returns the key under which a part is recorded as served by some software.
func onSoftware(part protocol.Fingerprint, on quarantine.Software) protocol.Fingerprint {
	binary.LittleEndian.PutUint64(part[:8], binary.LittleEndian.Uint64(part[:8])^uint64(on))
	return part
}

// servedTable records which requests were served recently, one in each slot: where such requests
// are sent repeatedly, crashes of their endpoints more likely have another cause. It is safe for
// concurrent use. The zero value is empty.
type servedTable struct {
	slots [servedSlots]atomic.Uint64 // half a fingerprint, then Unix seconds
}

func (t *servedTable) slot(print protocol.Fingerprint) (*atomic.Uint64, uint64) {
	at := binary.LittleEndian.Uint16(print[:2]) % servedSlots
	return &t.slots[at], uint64(binary.LittleEndian.Uint32(print[4:8])) << 32
}

func (t *servedTable) add(print protocol.Fingerprint, now time.Time) {
	slot, tag := t.slot(print)
	slot.Store(tag | uint64(uint32(now.Unix())))
}

// recently reports whether the request or part was served at most a while before it was sent.
func (t *servedTable) recently(print protocol.Fingerprint, sent time.Time, within time.Duration) bool {
	slot, tag := t.slot(print)
	v := slot.Load()
	if v == 0 || v&^uint64(1<<32-1) != tag {
		return false
	}
	ago := sent.Unix() - int64(uint32(v))
	return ago <= int64(within/time.Second)
}
