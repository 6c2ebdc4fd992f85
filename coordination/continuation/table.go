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
	recording bool      // versions enter service once they are recorded
	stored    map[Fingerprint]string
}

type entry struct {
	Record
	own bool // began at this daemon
}

// listing is the latest description of an endpoint's id.
type listing struct {
	service, software string
	incarnation       fleet.Incarnation
}

// history is the software seen in a service.
type history struct {
	current  map[string]bool      // in the latest view, and in service
	pending  map[string]bool      // in the latest view, and not in service yet
	recorded map[string]time.Time // when versions with a record were last in the view, or found in the record
	last     map[string]time.Time // when others were last listed
	since    time.Time            // start of the time that the history covers
}

// New returns a table that watches services from the given time on. The zero time means that no
// stream has begun before: the system has never run.
func New(since time.Time) *Table {
	return &Table{records: map[Key]*entry{}, services: map[string]*history{}, listed: map[string]listing{}, replaced: map[string]time.Time{}, stored: map[Fingerprint]string{}, retention: minRetention, since: since}
}

// RequireRecords lets versions enter service only once they are recorded.
func (t *Table) RequireRecords() { t.recording = true }

// SetLongestStream sets how long a stream may last, by the timeouts of the routes.
func (t *Table) SetLongestStream(d time.Duration) { t.retention = max(minRetention, retentionFactor*d) }

func (t *Table) history(service string) *history {
	h := t.services[service]
	if h == nil {
		h = &history{current: map[string]bool{}, pending: map[string]bool{}, recorded: map[string]time.Time{}, last: map[string]time.Time{}, since: t.since}
		t.services[service] = h
	}
	return h
}

// ObserveView processes a new view of the endpoints. It returns the services in which a second
// version has appeared.
func (t *Table) ObserveView(now time.Time, view *fleet.View) (mixed []string) {
	mixed = t.newlyMixed(now, func() {
		for _, h := range t.services {
			for software := range h.current {
				h.last[software] = now // it was listed until now
				h.recorded[software] = now
			}
		}
		t.replaceCurrent(now, view)
	})
	t.observeListings(now, view)
	t.viewed = true
	return mixed
}

// newlyMixed returns the services in which change lets a second version appear.
func (t *Table) newlyMixed(now time.Time, change func()) (mixed []string) {
	before := map[string]bool{}
	for service, h := range t.services {
		before[service] = len(h.versions(now, t.retention)) > 1
	}
	change()
	for service, h := range t.services {
		if !before[service] && len(h.versions(now, t.retention)) > 1 {
			mixed = append(mixed, service)
		}
	}
	slices.Sort(mixed)
	return mixed
}

// replaceCurrent sets the software that is listed now.
func (t *Table) replaceCurrent(now time.Time, view *fleet.View) {
	for _, h := range t.services {
		h.current, h.pending = map[string]bool{}, map[string]bool{}
	}
	for service, list := range view.ByService {
		h := t.history(service)
		for _, e := range list {
			h.list(now, e.Software, !t.recording || t.isRecorded(now, h, e.Software))
		}
	}
}

// list notes a version in the latest view.
func (h *history) list(now time.Time, software string, inService bool) {
	if !inService {
		h.pending[software] = true
		return
	}
	h.current[software] = true
	h.recorded[software] = now
}

// isRecorded reports whether the record of a version is known to exist. The version may have been out of the
// view for a part of the retention only: its record is dropped after the whole.
func (t *Table) isRecorded(now time.Time, h *history, software string) bool {
	at, ok := h.recorded[software]
	return ok && (h.current[software] || now.Sub(at) < t.retention/2)
}

// Recorded notes that versions of a service are recorded, and when they were last listed. Those in the
// view enter service. It returns the services in which a second version has appeared.
func (t *Table) Recorded(now time.Time, service string, versions []Seen) (mixed []string) {
	return t.newlyMixed(now, func() {
		h := t.history(service)
		for _, v := range versions {
			if v.At.After(h.recorded[v.Software]) {
				h.recorded[v.Software] = v.At
			}
			if h.pending[v.Software] && t.isRecorded(now, h, v.Software) {
				delete(h.pending, v.Software)
				h.list(now, v.Software, true)
			}
		}
	})
}

// Pending returns the services with versions that are listed and not in service yet.
func (t *Table) Pending() (services []string) {
	for service, h := range t.services {
		if len(h.pending) > 0 {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// Beginning returns where a stream of a service may begin.
func (t *Table) Beginning(service string) Beginning {
	h := t.services[service]
	if h == nil || len(h.pending) == 0 {
		return Beginning{}
	}
	return Beginning{pending: slices.Sorted(maps.Keys(h.pending)), inService: slices.Sorted(maps.Keys(h.current))}
}

// MissViews notes that this daemon has not followed the endpoints for a while: any version that it has seen may have been
// listed until now, and others may have come and gone.
func (t *Table) MissViews(now time.Time) {
	t.since = now
	for _, h := range t.services {
		h.since = now
		for software := range h.last {
			h.last[software] = now
		}
	}
}

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

// versions returns the software listed now or within the retention.
func (h *history) versions(now time.Time, retention time.Duration) []string {
	list := make([]string, 0, len(h.current))
	for software := range h.current {
		list = append(list, software)
	}
	for software, at := range h.last {
		if !h.current[software] && now.Sub(at) < retention {
			list = append(list, software)
		}
	}
	slices.Sort(list)
	return list
}

// sole returns the only software that can have begun a stream of a service. ok is false if there may
// be more than one, or if this daemon has not watched for long enough to know.
func (t *Table) sole(now time.Time, service string) (software string, ok bool) {
	h := t.services[service]
	if h == nil || !t.viewed || !h.since.IsZero() && now.Sub(h.since) < t.retention {
		return "", false
	}
	list := h.versions(now, t.retention)
	if len(list) != 1 {
		return "", false
	}
	return list[0], true
}

// Mixed reports whether streams of a service may have begun at more than one version, so that their
// records must outlast this daemon.
func (t *Table) Mixed(now time.Time, service string) bool {
	_, sole := t.sole(now, service)
	return !sole
}

// Begin records that a stream has begun at this daemon. The software of an endpoint whose id another
// incarnation has taken over meanwhile is ambiguous.
func (t *Table) Begin(now time.Time, key Key, o Origin) Record {
	if is, ok := t.listed[o.Incarnation.ID]; ok && !is.incarnation.Matches(o.Incarnation) && is.software != o.Software {
		o.Ambiguous = true
	}
	r := Record{Key: key, Origin: o, At: now}
	t.merge(r, true)
	return t.records[key].Record
}

// Merge adds records from other daemons. It returns the services in which a second version has appeared.
func (t *Table) Merge(now time.Time, records []Record) (mixed []string) {
	return t.newlyMixed(now, func() {
		for _, r := range records {
			if now.Sub(r.At) < t.retention {
				t.merge(r, false)
			}
		}
	})
}

func (t *Table) merge(r Record, own bool) {
	// A daemon whose view is old learns of a new version by the records of other daemons.
	t.history(r.Origin.Service).add(Seen{r.Origin.Software, r.At})
	have := t.records[r.Key]
	if have == nil {
		t.records[r.Key] = &entry{Record: r, own: own}
		t.enforceLimit()
		return
	}
	have.own = have.own || own
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

// Expire drops the records of streams that have ended, and versions that were last listed too long
// ago to matter.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.records, func(_ Key, e *entry) bool { return now.Sub(e.At) > t.retention })
	for _, h := range t.services {
		old := func(_ string, at time.Time) bool { return now.Sub(at) > t.retention }
		maps.DeleteFunc(h.last, old)
		maps.DeleteFunc(h.recorded, func(software string, at time.Time) bool { return !h.current[software] && old(software, at) })
	}
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
	o := r.Origin
	_, sole := t.sole(now, o.Service)
	replacedAt, replaced := t.replaced[o.Incarnation.ID]
	switch {
	case o.Ambiguous, replaced && replacedAt.Sub(r.At) < replacementLag && !replacedAt.Before(r.At):
		return Constraint{}, false
	case o.Software == "" && !sole:
		return sameIncarnation(o.Incarnation), true // endpoints without a version may differ
	}
	return sameSoftware(o.Software), true
}

// Seen is when a version was last listed.
type Seen struct {
	Software string
	At       time.Time
}

// RecordOf returns the software of a service that a record must hold: what History returns, and what is to enter
// service. A history that covers the whole retention counts as one since the first start.
func (t *Table) RecordOf(now time.Time, service string) (since time.Time, seen []Seen) {
	since, seen = t.History(now, service)
	if now.Sub(since) >= t.retention {
		since = time.Time{}
	}
	for software := range t.history(service).pending {
		seen = append(seen, Seen{software, now})
	}
	return since, seen
}

// History returns the software that this daemon has seen in service, and since when it has
// watched; zero: since the first start of the system.
func (t *Table) History(now time.Time, service string) (since time.Time, seen []Seen) {
	h := t.history(service)
	for software, at := range h.last {
		if !h.current[software] {
			seen = append(seen, Seen{software, at})
		}
	}
	for software := range h.current {
		seen = append(seen, Seen{software, now})
	}
	slices.SortFunc(seen, func(a, b Seen) int { return b.At.Compare(a.At) })
	return h.since, seen
}

// Services returns the services in which software has been seen.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.services)) }

// AdoptHistory adds what another source has seen in a service, up to now and since the given time;
// the zero time stands for the first start of the system. It returns the services in which a second version has appeared.
func (t *Table) AdoptHistory(now time.Time, service string, since time.Time, seen []Seen) (mixed []string) {
	return t.newlyMixed(now, func() {
		h := t.history(service)
		if since.Before(h.since) {
			h.since = since
		}
		for _, s := range seen {
			h.add(s)
		}
	})
}

// add records that a version was listed.
func (h *history) add(s Seen) {
	if len(h.last) < maxVersions && s.At.After(h.last[s.Software]) {
		h.last[s.Software] = s.At
	}
}

// maxVersions bounds the versions of a service that are remembered.
const maxVersions = 64

// Retention returns for how long records are kept.
func (t *Table) Retention() time.Duration { return t.retention }
