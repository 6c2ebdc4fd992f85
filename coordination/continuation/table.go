package continuation

import (
	"maps"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// minRetention is the least time for which records are kept and after which a version that is
	// no longer listed cannot have begun a stream that is still read.
	minRetention = time.Minute
	// retentionFactor is the ratio of that time to the longest timeout of a stream: callers resume a
	// stream after its first attempt has ended.
	retentionFactor = 2
	// maxRecords bounds the memory: some 5 MB, at 150 bytes a record. The oldest are dropped first;
	// their streams then count as unknown.
	maxRecords = 1 << 15
	// replacementLag is how late a daemon may see that an endpoint has started again under its id.
	// A stream that began within this time before may have begun at either incarnation.
	replacementLag = 10 * time.Second
)

// Record is what daemons keep of a stream that has begun.
type Record struct {
	Key    Key
	Origin Origin
	At     time.Time // when it began, by this daemon's clock
	// Until is when its caller has left, by this daemon's clock; zero: not known.
	Until time.Time
}

// Table holds one daemon's records of begun streams, and the software that it has seen in each
// service. It is not safe for concurrent use.
//
// Invariant: records can be merged in any order. Two records of one key that differ make its origin
// ambiguous for good.
//
// Invariant, if versions are recorded: a stream begins only at a version that is in service, and a version
// enters service only once a record of it outlasts all daemons. Versions that are listed and not in
// service are pending; they count in no decision.
type Table struct {
	records   map[Key]*entry
	services  map[string]*history
	listed    map[string]listing
	replaced  map[string]time.Time // when an incarnation with other software took over an id
	retention time.Duration
	viewed    bool
	since     time.Time // start of the time that this daemon has watched; zero: since the first start
	blind     bool      // the view is too old to rely on
	recording bool      // versions enter service once they are recorded
	stored    map[Fingerprint]storedOrigin
	storedAt  time.Time // when stored was last read
}

type entry struct {
	Record
	own    bool // began at this daemon
	stored bool // this daemon keeps it in its object in the store
	print  Fingerprint
}

// listing is the latest description of an endpoint's id.
type listing struct {
	service, software string
	incarnation       fleet.Incarnation
}

// New returns a table that watches services from the given time on. The zero time means that no
// stream has begun before: the system has never run.
func New(since time.Time) *Table {
	return &Table{records: map[Key]*entry{}, services: map[string]*history{}, listed: map[string]listing{}, replaced: map[string]time.Time{}, stored: map[Fingerprint]storedOrigin{}, retention: minRetention, since: since}
}

// RequireRecords lets versions enter service only once they are recorded.
func (t *Table) RequireRecords() { t.recording = true }

// SetLongestStream sets how long a stream may last, by the timeouts of the routes.
func (t *Table) SetLongestStream(d time.Duration) { t.retention = max(minRetention, retentionFactor*d) }

// observeListings records which ids were taken over by an incarnation with other software.
func (t *Table) observeListings(now time.Time, view *fleet.View) {
	for id, e := range view.ByID {
		was, ok := t.listed[id]
		if ok && !was.incarnation.Matches(e.Incarnation()) && (was.software != e.Software || was.service != e.Service) {
			t.replaced[id] = now
		}
		t.listed[id] = listing{e.Service, e.Software, e.Incarnation()}
	}
	if len(t.listed) > len(view.ByID)+maxListings {
		maps.DeleteFunc(t.listed, func(id string, _ listing) bool { return view.ByID[id] == nil })
	}
	maps.DeleteFunc(t.replaced, func(_ string, at time.Time) bool { return now.Sub(at) > t.retention })
}

// maxListings bounds the remembered descriptions of endpoints that are not listed: they may return
// under their ids with other software.
const maxListings = 4096

// Begin records that a stream has begun at this daemon; until is when its caller has left, zero if that is not known. The
// software of an endpoint whose id another incarnation has taken over meanwhile is ambiguous.
func (t *Table) Begin(now time.Time, key Key, o Origin, until time.Time) Record {
	if is, ok := t.listed[o.Incarnation.ID]; ok && !is.incarnation.Matches(o.Incarnation) && is.software != o.Software {
		o.Ambiguous = true
	}
	r := Record{Key: key, Origin: o, At: now, Until: until}
	t.merge(r, true)
	return t.records[key].Record
}

// Merge adds records from other daemons.
func (t *Table) Merge(now time.Time, records []Record) {
	for _, r := range records {
		if now.Sub(r.At) < t.retention {
			t.merge(r, false)
		}
	}
}

func (t *Table) merge(r Record, own bool) {
	// A daemon whose view is old learns of a new version by the records of other daemons.
	t.history(r.Origin.Service).version(r.Origin.Software).see(r.At)
	have := t.records[r.Key]
	if have == nil {
		o := r.Origin
		t.records[r.Key] = &entry{Record: r, own: own, stored: own, print: fingerprint(r.Key, o.Service, o.Workspace, o.Unit)}
		t.enforceLimit()
		return
	}
	have.own, have.stored = have.own || own, have.stored || own
	if have.Origin != r.Origin {
		have.Origin.Ambiguous = true
	}
}

// enforceLimit drops an eighth of the records, the oldest ones, when there are too many.
func (t *Table) enforceLimit() {
	if len(t.records) <= maxRecords {
		return
	}
	list := slices.Collect(maps.Values(t.records))
	slices.SortFunc(list, func(a, b *entry) int { return a.At.Compare(b.At) })
	for _, e := range list[:maxRecords/8] {
		delete(t.records, e.Key)
	}
}

// Expire drops the records of streams that have ended, what was read of stored ones, and versions that were last listed too long
// ago to matter.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.records, func(_ Key, e *entry) bool { return now.Sub(e.At) > t.retention })
	if now.Sub(t.storedAt) > t.retention {
		t.stored = map[Fingerprint]storedOrigin{}
	}
	t.expireVersions(now)
}

// Own returns the records of streams of a service that began at this daemon.
func (t *Table) Own(service string) []Record {
	var list []Record
	for _, e := range t.records {
		if e.own && e.Origin.Service == service {
			list = append(list, e.Record)
		}
	}
	return list
}

// Lookup returns the record of a stream.
func (t *Table) Lookup(key Key) (Record, bool) {
	if e := t.records[key]; e != nil {
		return e.Record, true
	}
	return Record{}, false
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Decide returns where a stream may continue. decided is false if its origin is not known to this
// daemon and more than one version may have begun it.
func (t *Table) Decide(now time.Time, r Request) (c Constraint, decided bool) {
	e := t.records[r.Key]
	if r.Named && e != nil && r.matches(e.Origin) {
		return t.constrain(now, e.Record)
	}
	if software := t.StoredSoftware(r.Fingerprint()); r.Named && software != "" {
		return sameSoftware(software), true
	}
	if software, ok := t.sole(now, r.Service); ok {
		return sameSoftware(software), true
	}
	return Constraint{}, false
}

// constrain returns where the stream of a record may continue.
func (t *Table) constrain(now time.Time, r Record) (Constraint, bool) {
	if !t.isCertain(r) {
		return Constraint{}, false
	}
	if r.Origin.Software != "" {
		return sameSoftware(r.Origin.Software), true
	}
	if _, sole := t.sole(now, r.Origin.Service); !sole {
		return sameIncarnation(r.Origin.Incarnation), true // endpoints without a version may differ
	}
	return sameSoftware(""), true
}

// isCertain reports whether the software of a record is known for certain.
func (t *Table) isCertain(r Record) bool {
	replacedAt, replaced := t.replaced[r.Origin.Incarnation.ID]
	return !r.Origin.Ambiguous && !(replaced && replacedAt.Sub(r.At) < replacementLag && !replacedAt.Before(r.At))
}

// Retention returns for how long records are kept.
func (t *Table) Retention() time.Duration { return t.retention }
