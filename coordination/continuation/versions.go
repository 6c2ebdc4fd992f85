package continuation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// maxVersions bounds the versions of a service that are remembered.
const maxVersions = 64

// history is the software seen in a service.
type history struct {
	versions map[string]*version
	since    time.Time // start of the time that the history covers
	// uncovered is when this daemon last read a record that does not cover what ran before; zero: never. daemonsLost is set if
	// daemons were lost before that read: what the others have seen then does not cover it either.
	uncovered   time.Time
	daemonsLost bool
	mixed       bool // a second version has been reported
}

// version is what a daemon knows of one version of a service's software.
type version struct {
	listed    bool // in the latest view
	inService bool // listed, and the record said so before: streams begin at it
	// confirmed is when the record was last known to say that the version is listed. It cannot be dropped
	// from the record within the retention after that.
	confirmed time.Time
	// seen is when the version may last have begun a stream; zero: not that this daemon knows.
	seen time.Time
	// unlisted is when this daemon first knew that the record says it is not listed; zero: it says it is, or nothing.
	unlisted time.Time
}

// Seen is when a version was last in service.
type Seen struct {
	Software string
	At       time.Time
}

// RecordedVersion is a version in the record.
type RecordedVersion struct {
	Software string
	Listed   bool
}

func (t *Table) history(service string) *history {
	h := t.services[service]
	if h == nil {
		h = &history{versions: map[string]*version{}, since: t.since}
		t.services[service] = h
	}
	return h
}

func (h *history) version(software string) *version {
	v := h.versions[software]
	if v == nil {
		v = &version{}
		if len(h.versions) < maxVersions {
			h.versions[software] = v
		}
	}
	return v
}

// see notes that a version may have begun streams at a time.
func (v *version) see(at time.Time) {
	if at.After(v.seen) {
		v.seen = at
	}
}

// ObserveView processes a new view of the endpoints. It returns the services in which a second
// version has appeared.
func (t *Table) ObserveView(now time.Time, view *fleet.View) (mixed []string) {
	for service := range view.ByService {
		t.history(service)
	}
	for service, h := range t.services {
		t.listVersions(now, h, view.ByService[service])
	}
	t.observeListings(now, view)
	t.viewed = true
	return t.NewlyMixed(now)
}

// listVersions sets the versions of a service that are listed now. One whose record was last confirmed long ago leaves service
// until it is confirmed again, unless this daemon is blind: the store is then away, so that no record is dropped, or
// another daemon follows it.
func (t *Table) listVersions(now time.Time, h *history, list []*fleet.Endpoint) {
	before := map[string]bool{}
	for software, v := range h.versions {
		before[software] = v.inService
		if v.inService {
			v.see(now) // it was in service until now
		}
		v.listed, v.inService = false, false
	}
	for _, e := range list {
		v := h.version(e.Software)
		confirmed := !v.confirmed.IsZero() && now.Sub(v.confirmed) < t.retention/2
		v.listed, v.inService = true, !t.recording || confirmed || t.blind && before[e.Software]
	}
}

// NewlyMixed returns the services in which a second version has appeared since it was last reported, from whatever source:
// records of the store and of other daemons show versions before the view has them.
func (t *Table) NewlyMixed(now time.Time) (mixed []string) {
	for service, h := range t.services {
		was := h.mixed
		h.mixed = len(h.counting(now, t.retention)) > 1
		if h.mixed && !was {
			mixed = append(mixed, service)
		}
	}
	slices.Sort(mixed)
	return mixed
}

// counting returns the versions that may have begun a stream which is still read.
func (h *history) counting(now time.Time, retention time.Duration) []string {
	list := make([]string, 0, len(h.versions))
	for software, v := range h.versions {
		if v.inService || !v.seen.IsZero() && now.Sub(v.seen) < retention {
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
	if h == nil || !t.viewed || !h.since.IsZero() && now.Sub(h.since) < t.retention || h.daemonsLost && t.isUncovered(now, h) {
		return "", false
	}
	list := h.counting(now, t.retention)
	if len(list) != 1 {
		return "", false
	}
	return list[0], true
}

// NoteUncovered notes that the record does not cover what ran in a service before, as after a restore of the store from a
// copy. daemonsLost reports whether daemons have been lost whose versions may be known to nobody that is left.
func (t *Table) NoteUncovered(now time.Time, service string, daemonsLost bool) {
	h := t.history(service)
	h.uncovered, h.daemonsLost = now, h.daemonsLost && t.isUncovered(now, h) || daemonsLost
}

// Covered reports whether the record covers what ran in a service within the retention, as far as this daemon knows.
func (t *Table) Covered(now time.Time, service string) bool {
	return !t.isUncovered(now, t.history(service))
}

// isUncovered reports whether versions that the record does not name may have begun streams which are still read.
func (t *Table) isUncovered(now time.Time, h *history) bool {
	return !h.uncovered.IsZero() && now.Sub(h.uncovered) < t.retention
}

// Mixed reports whether streams of a service may have begun at more than one version, so that their
// records must outlast this daemon.
func (t *Table) Mixed(now time.Time, service string) bool {
	_, sole := t.sole(now, service)
	return !sole
}

// Versions returns the versions of a service that count in decisions: those that can have begun a stream.
func (t *Table) Versions(now time.Time, service string) []string {
	if h := t.services[service]; h != nil {
		return h.counting(now, t.retention)
	}
	return nil
}

// SetBlind sets whether this daemon's view is too old to rely on. When it ends, any version that has been seen may have been in
// service until now, and others may have come and gone.
func (t *Table) SetBlind(now time.Time, blind bool) (ended bool) {
	ended = t.blind && !blind
	t.blind = blind
	if !ended {
		return false
	}
	t.since = now
	for _, h := range t.services {
		h.since = now
		for _, v := range h.versions {
			if !v.seen.IsZero() {
				v.seen = now
			}
		}
	}
	return true
}

// Confirm notes that a view that lists the versions in service is in force: the writer of the record sees them, too.
func (t *Table) Confirm(now time.Time) {
	for _, h := range t.services {
		for _, v := range h.versions {
			if v.inService {
				v.confirmed = now
			}
		}
	}
}

// Recorded notes what the record says of a service. Listed versions enter service. It returns the services in which a
// second version has appeared.
func (t *Table) Recorded(now time.Time, service string, record []RecordedVersion) (mixed []string) {
	h := t.history(service)
	recorded := map[string]bool{}
	for _, r := range record {
		recorded[r.Software] = true
		h.version(r.Software).adoptRecorded(now, r.Listed)
	}
	for software, v := range h.versions {
		if !recorded[software] {
			v.noteUnlisted(now)
		}
	}
	return t.NewlyMixed(now)
}

func (v *version) adoptRecorded(now time.Time, listed bool) {
	if listed || v.seen.IsZero() {
		v.see(now)
	}
	if !listed {
		v.noteUnlisted(now)
		return
	}
	v.confirmed, v.unlisted = now, time.Time{}
	v.inService = v.listed
}

func (v *version) noteUnlisted(now time.Time) {
	if v.unlisted.IsZero() {
		v.unlisted = now
	}
}

// RecordOf returns what the record should say of a service, and since when it covers it; zero: since the first start, or for
// the whole retention.
func (t *Table) RecordOf(now time.Time, service string) (since time.Time, list []RecordedVersion) {
	h := t.history(service)
	for software, v := range h.versions {
		if v.listed || !t.isOver(now, v) {
			list = append(list, RecordedVersion{Software: software, Listed: v.listed})
		}
	}
	slices.SortFunc(list, func(a, b RecordedVersion) int { return strings.Compare(a.Software, b.Software) })
	switch {
	case t.isUncovered(now, h):
		return h.uncovered, list
	case now.Sub(h.since) >= t.retention:
		return time.Time{}, list
	}
	return h.since, list
}

// isOver reports whether no stream of a version that is not listed is read any more, and no daemon can hold it for
// recorded: the record has said for the whole retention that it is not listed.
func (t *Table) isOver(now time.Time, v *version) bool {
	if v.seen.IsZero() {
		return !v.listed // it never was in service
	}
	over := func(at time.Time) bool { return now.Sub(at) > t.retention }
	return !v.listed && over(v.seen) && !v.unlisted.IsZero() && over(v.unlisted)
}

// Pending returns the services with versions that are listed and not in service yet.
func (t *Table) Pending() (services []string) {
	for service := range t.services {
		if t.Beginning(service).Limited() {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// Beginning returns where a stream of a service may begin.
func (t *Table) Beginning(service string) Beginning {
	h := t.services[service]
	if h == nil {
		return Beginning{}
	}
	var b Beginning
	for software, v := range h.versions {
		switch {
		case v.inService:
			b.inService = append(b.inService, software)
		case v.listed:
			b.pending = append(b.pending, software)
		}
	}
	return b
}

// MayBegin reports whether a stream that an endpoint with some software has begun may go to its caller: the record has the version.
func (t *Table) MayBegin(now time.Time, service, software string) bool {
	h := t.services[service]
	if !t.recording {
		return true
	}
	if h == nil || h.versions[software] == nil {
		return false
	}
	v := h.versions[software]
	return v.inService || !v.confirmed.IsZero() && now.Sub(v.confirmed) < t.retention/2
}

// History returns the software that this daemon has seen in service, and since when it has
// watched; zero: since the first start of the system.
func (t *Table) History(now time.Time, service string) (since time.Time, seen []Seen) {
	h := t.history(service)
	for software, v := range h.versions {
		switch {
		case v.inService:
			seen = append(seen, Seen{software, now})
		case !v.seen.IsZero():
			seen = append(seen, Seen{software, v.seen})
		}
	}
	slices.SortFunc(seen, func(a, b Seen) int { return b.At.Compare(a.At) })
	return h.since, seen
}

// Services returns the services in which software has been seen.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.services)) }

// AdoptHistory adds what another source has seen in a service, up to now and since the given time;
// the zero time stands for the first start of the system.
func (t *Table) AdoptHistory(service string, since time.Time, seen []Seen) {
	h := t.history(service)
	if since.Before(h.since) {
		h.since = since
	}
	for _, s := range seen {
		h.version(s.Software).see(s.At)
	}
}

// AdoptInService lets versions enter service that are listed and that another daemon has in service, or had
// lately.
func (t *Table) AdoptInService(now time.Time, service string, seen []Seen) (mixed []string) {
	h := t.history(service)
	for _, s := range seen {
		if now.Sub(s.At) < t.retention/2 {
			v := h.version(s.Software)
			v.inService = v.listed
		}
	}
	return t.NewlyMixed(now)
}

// expireVersions drops versions that cannot matter any more.
func (t *Table) expireVersions(now time.Time) {
	for _, h := range t.services {
		maps.DeleteFunc(h.versions, func(_ string, v *version) bool {
			if !t.recording {
				return !v.listed && now.Sub(v.seen) > t.retention
			}
			return t.isOver(now, v)
		})
	}
}
