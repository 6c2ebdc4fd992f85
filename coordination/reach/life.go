package reach

// Life is what a check has shown of an endpoint just now. The zero value is LifeNotKnown.
type Life int

// The results of a check.
const (
	// LifeNotKnown: nobody who was asked could say, or the own path is at fault.
	LifeNotKnown Life = iota
	// LifeServing: it takes connections.
	LifeServing
	// LifeSilent: it answers nobody who was asked, though the own path reaches another endpoint.
	LifeSilent
	// LifeGone: it refuses connections, and no daemon that was asked reaches it.
	LifeGone
)

// String returns the name of the result as it appears in logs.
func (l Life) String() string { return [...]string{"not-known", "serving", "silent", "gone"}[l] }
