// Package clock provides a time that advances while the host is suspended. Go's monotonic
// clock, which time.Now, timers and deadlines use, stops then: after a suspension of ten
// seconds, an expired lease would still appear valid, and updates received before it
// would appear recent.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the present time. Tests of suspended hosts provide their own.
type Clock func() time.Time

// Now returns time.Now plus the time that the host has been suspended since this process
// started. Compare times of Now and time.Now only where that difference is harmless.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns the time elapsed since at, a time of Now.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// atStart is the difference between the system's two clocks when this process started.
var atStart = difference()

// noise bounds the apparent change of the difference without a suspension: the process may
// be descheduled between readings of the two clocks.
const noise = 20 * time.Millisecond

// Suspended returns how long the host has been suspended since this process started.
func Suspended() time.Duration {
	d := difference() - atStart
	if d < noise {
		return 0
	}
	return d
}

// difference returns by how much CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC. It reads
// CLOCK_BOOTTIME between two readings of CLOCK_MONOTONIC, which show a pause in between, and
// uses the attempt with the shortest pause.
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

// maxReadings bounds the attempts to read both clocks without a pause in between.
const maxReadings = 3

// read returns the time of a system clock. It panics if there is no such clock; both
// exist on all supported systems.
func read(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// AgeMs returns the age, in milliseconds, of what happened at a time: clocks of daemons differ, so they
// send ages to each other.
func AgeMs(now, then time.Time) int64 { return max(0, now.Sub(then).Milliseconds()) }

// Ago returns the time of what has the given age in milliseconds.
func Ago(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(max(0, ageMs)) * time.Millisecond)
}
