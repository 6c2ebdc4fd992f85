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

// Now returns the time of day at which this process started, plus the time that has passed since, suspensions of the host
// included. Steps of the time of day don't change it, also where it is read as a Unix time: a step of a minute would end the
// window of a quota early. Compare times of Now and time.Now only where their difference is harmless.
func Now() time.Time { return steady(startedAt, time.Now()).Add(Suspended()) }

// startedAt is when this process started.
var startedAt = time.Now()

// steady returns the present time by the time of day at start. Go's differences of two times are monotonic.
func steady(start, now time.Time) time.Time { return start.Add(now.Sub(start)) }

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
