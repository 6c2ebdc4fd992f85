// Package connections decides how many unused connections a daemon keeps to an endpoint.
package connections

// MaxUnused bounds the unused connections that a daemon keeps to one endpoint.
const MaxUnused = 8

// Unused returns how many unused connections a daemon may keep to an endpoint that accepts limit connections from
// all daemons together (0: any number) and resets further ones. One connection for each of its slots is
// left free, so that those which daemons keep never take the place of a request.
func Unused(limit, slots, daemons int) int {
	if limit <= 0 {
		return MaxUnused
	}
	return min(MaxUnused, max(0, limit-slots)/max(1, daemons))
}
