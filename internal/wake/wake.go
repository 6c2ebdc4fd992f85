// Package wake wakes a goroutine that receives from a channel.
package wake

// Once sends a wake-up to c without blocking. c must have a buffer of one: calls before the
// receiver takes the wake-up are merged into one.
func Once(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // a wake-up is already pending
	}
}
