// Package claims lets non-repeatable requests run at most once: the idempotency
// key of a request is claimed durably before the request goes to an endpoint.
// Keys hash to shards. A shard is stored as one head object and sealed segments,
// and an append of many keys is one conditional write of the head. That condition
// fences off owners with a stale view: their writes fail.
//
// Shard is a state machine without I/O: callers pass events and the time to Step,
// and carry out the actions that Ready returns.
package claims

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Default settings of a shard. Each append writes the open records again, so
// their number and the interval bound the bytes per second of a shard.
const (
	DefaultInterval = 50 * time.Millisecond
	DefaultMaxOpen  = 32
)

// The segments of one level are merged into one segment of the next level, so
// that the head lists few segments and a new owner reads few.
const (
	mergeFanIn = 16
	maxLevel   = 2 // 32*16*16 records, about 270 KB
)

// maxClockError is added to the retention of sealed records: the clocks of the daemon that seals a segment and of the one
// that drops it may each be a minute off, and a key that is dropped early may run twice.
const maxClockError = 2 * time.Minute

// KeySize is the size of a hashed key in bytes.
const KeySize = 16

// Key is the hash of a caller's name and its idempotency key.
type Key [KeySize]byte

// MakeKey hashes a caller's name, a service's name and an idempotency key.
func MakeKey(caller, service, idempotencyKey string) Key {
	var k Key
	text := caller + "\x00" + service + "\x00" + idempotencyKey
	binary.BigEndian.PutUint64(k[:8], xxhash.Sum64String(text))
	binary.BigEndian.PutUint64(k[8:], xxhash.Sum64String("2\x00"+text))
	return k
}

// Shard returns the key's shard out of n.
func (k Key) Shard(n int) uint32 {
	return uint32(binary.BigEndian.Uint64(k[:8]) % uint64(max(1, n)))
}

// Record is one claimed key with the hash of the claim id of the only attempt
// allowed for it. Its encoding is short, 32 characters, because the open records
// are written again with each append.
type Record struct {
	Key       Key
	ClaimHash ClaimHash
}

// ClaimHash is the hash of a claim id.
type ClaimHash uint64

// HashClaimID returns the hash of a claim id.
func HashClaimID(claimID string) ClaimHash { return ClaimHash(xxhash.Sum64String(claimID)) }

const recordSize = KeySize + 8

// MarshalText implements encoding.TextMarshaler.
func (r Record) MarshalText() ([]byte, error) {
	b := binary.BigEndian.AppendUint64(r.Key[:], uint64(r.ClaimHash))
	return []byte(base64.RawURLEncoding.EncodeToString(b)), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Record) UnmarshalText(text []byte) error {
	b, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil {
		return err
	}
	if len(b) != recordSize {
		return fmt.Errorf("claim record: want %d bytes, got %d", recordSize, len(b))
	}
	copy(r.Key[:], b)
	r.ClaimHash = ClaimHash(binary.BigEndian.Uint64(b[KeySize:]))
	return nil
}

// SegmentRef refers to a sealed segment.
type SegmentRef struct {
	Name  string `json:"n"`
	Unix  int64  `json:"t"`           // when its newest record was sealed
	Level int    `json:"l,omitempty"` // number of times that its records were merged
}

// Head is the object of a shard that appends change: it holds the open records
// and refers to the sealed segments.
type Head struct {
	WriteID string       `json:"write_id"`
	Open    []Record     `json:"open"`
	Sealed  []SegmentRef `json:"sealed,omitempty"`
}

// Segment holds sealed records of a shard; it never changes.
type Segment struct {
	Records []Record `json:"records"`
}

// Outcome is the result of a claim or release.
type Outcome int

// The outcomes of a claim or release.
const (
	Unavailable Outcome = iota // not known to be written; the request must not be dispatched
	Granted                    // the key is claimed for this claim id
	Duplicate                  // the key was claimed before
)

// Event is an input of the machine.
type Event interface{ claimsEvent() }

// Claim requests a key. ClaimID identifies the attempt.
type Claim struct {
	Key     Key
	ClaimID string
}

// Release releases a key whose request has certainly not run.
type Release struct {
	Key     Key
	ClaimID string
}

// ReadDone reports the result of a read: the head and all its sealed segments.
type ReadDone struct {
	Err      bool
	Head     Head
	Version  storeversion.Version
	Segments map[string]Segment
}

// WriteDone reports the result of the last write. After a conflict, Version still holds the platform's
// generation.
type WriteDone struct {
	Outcome protocol.WriteOutcome
	Version storeversion.Version
}

// GenerationUpdate reports the latest known generation of the platform's store.
type GenerationUpdate struct{ Generation uint64 }

func (Claim) claimsEvent()            {}
func (Release) claimsEvent()          {}
func (ReadDone) claimsEvent()         {}
func (WriteDone) claimsEvent()        {}
func (GenerationUpdate) claimsEvent() {}

// Result is the answer to a Claim or Release.
type Result struct {
	ClaimID string
	Key     Key
	Release bool
	Outcome Outcome
}

// Write is a conditional write of the head. The segment Seal, if not nil, must be
// created under SealName first.
type Write struct {
	Head            Head
	ExpectedVersion storeversion.Version
	Seal            *Segment
	SealName        string
}

// Ready holds the actions that the caller must carry out now.
type Ready struct {
	Read    bool
	Write   *Write
	Expired []SegmentRef // segments that may be deleted
	Results []Result
}

// Options configure a Shard.
type Options struct {
	Owner     string
	Shard     uint32
	Interval  time.Duration // minimum time between two writes
	RetryWait time.Duration // delay after a failed read
	Retention time.Duration // of sealed records
	MaxOpen   int           // number of open records from which they are sealed
}

type request struct {
	key         Key
	claimID     string
	release     bool
	readsBefore int // number of reads begun before the request arrived
}

func (r request) claimHash() ClaimHash { return HashClaimID(r.claimID) }
func (r request) record() Record       { return Record{Key: r.key, ClaimHash: r.claimHash()} }

// Shard is its owner's view of one shard. It is not safe for concurrent use.
type Shard struct {
	opt        Options
	head       Head
	version    storeversion.Version
	current    bool              // head was the newest at the last read or write
	owns       bool              // no write of another owner is known since head was read
	stale      bool              // the platform has been restored since head was read
	lostClaims []Record          // granted by this owner and lost in a restore of the platform
	index      map[Key]ClaimHash // claimed keys
	sealed     map[string][]Key  // keys of each sealed segment
	sealing    *sealing          // segment of the write in flight
	waiting    []request
	inFlight   []request    // requests of the write in flight
	next       *Head        // head of the write in flight
	expiring   []SegmentRef // segments that the write in flight expires
	busy       bool         // a read or a write is in flight
	reads      int          // number of reads begun
	nextAt     time.Time    // earliest time of the next read or write
	results    []Result
	expired    []SegmentRef
	writes     uint64
}

// NewShard returns a shard that has not been read yet.
func NewShard(opt Options) *Shard { return &Shard{opt: opt} }

// Step passes one event to the shard.
func (s *Shard) Step(now time.Time, e Event) {
	switch e := e.(type) {
	case Claim:
		s.waiting = append(s.waiting, request{e.Key, e.ClaimID, false, s.reads})
	case Release:
		s.waiting = append(s.waiting, request{e.Key, e.ClaimID, true, s.reads})
	case GenerationUpdate:
		s.stale = s.owns && s.version.Generation < e.Generation
		s.current = s.current && !s.stale
	case ReadDone:
		s.readDone(now, e)
	case WriteDone:
		s.writeDone(now, e)
	}
}

func (s *Shard) readDone(now time.Time, e ReadDone) {
	s.busy = false
	if e.Err {
		s.nextAt = now.Add(s.opt.RetryWait)
		s.fail(&s.waiting)
		return
	}
	restored, previous := s.owns && s.version.Generation < e.Version.Generation, s.index
	s.head, s.version, s.current, s.owns, s.stale = e.Head, e.Version, true, true, false
	s.index, s.sealed = map[Key]ClaimHash{}, map[string][]Key{}
	for name, seg := range e.Segments {
		s.addSegment(name, seg.Records)
	}
	for _, r := range s.head.Open {
		s.index[r.Key] = r.ClaimHash
	}
	if restored {
		s.restoreClaims(previous)
	} else {
		s.lostClaims = nil
	}
	s.requeue()
}

// restoreClaims keeps the previous claims that a restored platform has lost. They are written again
// before any other request.
func (s *Shard) restoreClaims(previous map[Key]ClaimHash) {
	s.lostClaims = nil
	for key, hash := range previous {
		if _, ok := s.index[key]; !ok {
			s.index[key] = hash
			s.lostClaims = append(s.lostClaims, Record{Key: key, ClaimHash: hash})
		}
	}
	slices.SortFunc(s.lostClaims, func(a, b Record) int { return bytes.Compare(a.Key[:], b.Key[:]) })
}

func (s *Shard) addSegment(name string, records []Record) {
	keys := make([]Key, len(records))
	for i, r := range records {
		keys[i] = r.Key
		s.index[r.Key] = r.ClaimHash
	}
	s.sealed[name] = keys
}

// requeue queues the requests of a write without a known result again. If the
// write took effect, the head that was just read holds their claim ids, and they
// are answered from it. If not, they go into the next write: either the
// condition of the lost write no longer holds, or the next write uses it up.
func (s *Shard) requeue() {
	s.waiting = append(s.inFlight, s.waiting...)
	s.inFlight, s.next = nil, nil
}

func (s *Shard) writeDone(now time.Time, e WriteDone) {
	s.busy = false
	s.nextAt = now.Add(s.opt.Interval)
	if e.Outcome != protocol.WriteOK {
		if e.Outcome == protocol.WriteConflict {
			s.nextAt = now
			s.expireSealing()
			s.owns = s.owns && s.version.Generation < e.Version.Generation
		}
		s.current, s.sealing = false, nil
		return
	}
	s.commitSealing()
	s.head, s.version, s.lostClaims = *s.next, e.Version, nil
	for _, r := range s.inFlight {
		if r.release {
			if s.index[r.key] == r.claimHash() {
				delete(s.index, r.key)
			}
		} else {
			s.index[r.key] = r.claimHash()
		}
		s.answer(r, Granted)
	}
	s.inFlight, s.next = nil, nil
	s.expired = append(s.expired, s.expiring...)
	for _, ref := range s.expiring {
		for _, k := range s.sealed[ref.Name] {
			delete(s.index, k)
		}
		delete(s.sealed, ref.Name)
	}
	s.expiring = nil
}

// sealing is the segment that the write in flight creates.
type sealing struct {
	name     string
	keys     []Key
	replaced []SegmentRef // segments that it replaces
}

// commitSealing records the segment of a write that took effect.
func (s *Shard) commitSealing() {
	if s.sealing == nil {
		return
	}
	s.sealed[s.sealing.name] = s.sealing.keys
	for _, ref := range s.sealing.replaced {
		delete(s.sealed, ref.Name)
		s.expired = append(s.expired, ref)
	}
	s.sealing = nil
}

// expireSealing expires the segment of a write that certainly had no effect.
func (s *Shard) expireSealing() {
	if s.sealing != nil {
		s.expired = append(s.expired, SegmentRef{Name: s.sealing.name})
	}
}

func (s *Shard) answer(r request, o Outcome) {
	s.results = append(s.results, Result{ClaimID: r.claimID, Key: r.key, Release: r.release, Outcome: o})
}

func (s *Shard) fail(list *[]request) {
	for _, r := range *list {
		s.answer(r, Unavailable)
	}
	*list = nil
}

// Ready returns the actions that are due now.
func (s *Shard) Ready(now time.Time) Ready {
	r := Ready{}
	if !s.busy && !now.Before(s.nextAt) && s.hasWork() {
		if !s.current {
			r.Read, s.busy = true, true
			s.reads++
		} else {
			r.Write = s.write(now)
		}
	}
	r.Results, s.results = s.results, nil
	r.Expired, s.expired = s.expired, nil
	return r
}

// NextAt returns when Ready may next return a read or a write; zero if there is
// nothing to read or write, or while a call is in flight.
func (s *Shard) NextAt() time.Time {
	if s.busy || !s.hasWork() {
		return time.Time{}
	}
	return s.nextAt
}

// hasWork reports whether there is something to read or write: requests, or claims that a restored
// platform may have lost.
func (s *Shard) hasWork() bool {
	return len(s.waiting)+len(s.inFlight)+len(s.lostClaims) > 0 || s.stale
}

// write builds the next head from all waiting requests. It returns nil if there
// is nothing to write.
//
// Invariant: a key is granted only by a write whose condition is the version
// of the head that index was built from, so no other daemon can have claimed
// it in between.
func (s *Shard) write(now time.Time) *Write {
	next := Head{Open: append(slices.Clone(s.head.Open), s.lostClaims...), Sealed: slices.Clone(s.head.Sealed)}
	w := &Write{ExpectedVersion: s.version}
	s.writes++
	next.WriteID = fmt.Sprintf("%s-%d-%d", s.opt.Owner, now.UnixNano(), s.writes)
	if s.seal(now, &next, w) || s.merge(&next, w) {
		s.next, s.busy, w.Head = &next, true, next
		return w // the waiting keys follow in the next write
	}
	s.expire(now, &next)
	s.takeWaiting(&next)
	if len(s.inFlight)+len(s.lostClaims) == 0 {
		s.expiring = nil
		return nil
	}
	s.next, s.busy, w.Head = &next, true, next
	return w
}

// seal moves the open records to a new segment if there are at least MaxOpen.
func (s *Shard) seal(now time.Time, next *Head, w *Write) bool {
	if len(next.Open) < s.opt.MaxOpen {
		return false
	}
	ref := SegmentRef{Name: s.segmentName(next), Unix: now.Unix()}
	w.SealName, w.Seal = ref.Name, &Segment{Records: next.Open}
	s.sealing = &sealing{name: ref.Name}
	for _, r := range next.Open {
		s.sealing.keys = append(s.sealing.keys, r.Key)
	}
	next.Sealed = append(next.Sealed, ref)
	next.Open = nil
	return true
}

func (s *Shard) segmentName(next *Head) string {
	return fmt.Sprintf("%d-%s", s.opt.Shard, next.WriteID)
}

// merge replaces the segments of a level by one segment if there are at least
// mergeFanIn. A sealed key is never released, so the index still holds its claim
// hash.
func (s *Shard) merge(next *Head, w *Write) bool {
	for level := range maxLevel {
		var old []SegmentRef
		for _, ref := range next.Sealed {
			if ref.Level == level {
				old = append(old, ref)
			}
		}
		if len(old) < mergeFanIn {
			continue
		}
		merged := SegmentRef{Name: s.segmentName(next), Level: level + 1}
		seg := &Segment{}
		s.sealing = &sealing{name: merged.Name, replaced: old}
		for _, ref := range old {
			merged.Unix = max(merged.Unix, ref.Unix)
			for _, k := range s.sealed[ref.Name] {
				seg.Records = append(seg.Records, Record{Key: k, ClaimHash: s.index[k]})
				s.sealing.keys = append(s.sealing.keys, k)
			}
		}
		next.Sealed = slices.DeleteFunc(next.Sealed, func(ref SegmentRef) bool { return ref.Level == level })
		next.Sealed = append(next.Sealed, merged)
		w.SealName, w.Seal = merged.Name, seg
		return true
	}
	return false
}

// expire drops the segments whose retention is over. Their times are of the time of day at the daemons that sealed them.
func (s *Shard) expire(now time.Time, next *Head) {
	oldest := now.Add(-maxClockError).Add(-s.opt.Retention).Unix()
	s.expiring = nil
	next.Sealed = slices.DeleteFunc(next.Sealed, func(ref SegmentRef) bool {
		if ref.Unix >= oldest {
			return false
		}
		s.expiring = append(s.expiring, ref)
		return true
	})
}

func (s *Shard) takeWaiting(next *Head) {
	inBatch := map[Key]bool{}
	var deferred []request
	for _, r := range s.waiting {
		claimedBy, taken := s.index[r.key]
		switch {
		case inBatch[r.key]:
			deferred = append(deferred, r)
		case r.release && !s.releasable(next, r):
			s.answer(r, Unavailable)
		case r.release:
			next.Open = slices.DeleteFunc(next.Open, func(rec Record) bool { return rec == r.record() })
			s.addInFlight(r, inBatch)
		case taken && claimedBy == r.claimHash():
			s.answer(r, Granted) // a repeated claim, or a claim whose write's response was lost
		case taken && r.readsBefore < s.reads:
			s.answer(r, Duplicate)
		case taken:
			// The index may be older than the request: another owner may
			// have released the key. Only a read begun after the request
			// arrived shows whether it has.
			deferred = append(deferred, r)
			s.current = false
		default:
			next.Open = append(next.Open, r.record())
			s.addInFlight(r, inBatch)
		}
	}
	s.waiting = deferred
}

func (s *Shard) addInFlight(r request, inBatch map[Key]bool) {
	inBatch[r.key] = true
	s.inFlight = append(s.inFlight, r)
}

// releasable reports whether r's claim is still an open record; a sealed claim
// stays until its retention ends.
func (s *Shard) releasable(next *Head, r request) bool {
	return slices.Contains(next.Open, r.record())
}

// SetRetention changes the retention of sealed records.
func (s *Shard) SetRetention(d time.Duration) { s.opt.Retention = d }

// Size returns the number of claimed keys in the shard.
func (s *Shard) Size() int { return len(s.index) }
