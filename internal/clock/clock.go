// Package clock tells a time that goes on while the host is suspended. Go's monotonic
// clock, on which time.Now, timers and deadlines run, stands still then: after ten
// seconds of suspension a lease that has lapsed would still look valid, and what was
// heard would look young.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the present time. Tests that suspend a host give their own.
type Clock func() time.Time

// Now is time.Now, later by all the time that the host has been suspended since this
// process started. Times of both may be compared only where that difference does no harm.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since is time.Since by this clock.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// atStart is what the two clocks of the system differed by as this process started.
var atStart = difference()

// noise is how much the difference may seem to change between two readings of each clock
// when nothing was suspended: the process may lose the processor in between.
const noise = 20 * time.Millisecond

// Suspended returns how long the host has been suspended since this process started.
func Suspended() time.Duration {
	d := difference() - atStart
	if d < noise {
		return 0
	}
	return d
}

// difference returns by how much CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC. The one is
// read between two readings of the other, so that a pause in between shows.
func difference() time.Duration {
	best := time.Duration(0)
	shortest := time.Duration(-1)
	for range maxReadings {
		before, boot, after := read(unix.CLOCK_MONOTONIC), read(unix.CLOCK_BOOTTIME), read(unix.CLOCK_MONOTONIC)
		if took := after - before; shortest < 0 || took < shortest {
			shortest, best = took, boot-before-took/2
		}
		if shortest < noise/maxReadings {
			break
		}
	}
	return best
}

// readings bounds the tries to read both clocks without a pause in between.
const maxReadings = 3

// read returns a clock's time; both are there on every system that this runs on.
func read(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}
