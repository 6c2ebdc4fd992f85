package quota

import "time"

// windowSteps is the number of steps in which use is counted over a window: what is more
// than a window old counts up to a step longer.
const windowSteps = 32

// window counts what was used in the last window.
type window struct {
	step time.Duration
	used [windowSteps]float64
	sum  float64
	at   int64 // number of the newest step
}

func newWindow(over time.Duration) window { return window{step: over / windowSteps} }

func (w *window) clear() { w.used, w.sum = [windowSteps]float64{}, 0 }

// move drops what is too old.
func (w *window) move(now time.Time) {
	at := now.UnixNano() / int64(w.step)
	if w.at == 0 || at-w.at >= windowSteps {
		w.used, w.sum, w.at = [windowSteps]float64{}, 0, at
		return
	}
	for w.at < at {
		w.at++
		i := w.at % windowSteps
		w.sum -= w.used[i]
		w.used[i] = 0
	}
}

// add counts units that were used at some time, not later than now.
func (w *window) add(at time.Time, units float64) {
	if w.step <= 0 {
		return
	}
	step := at.UnixNano() / int64(w.step)
	if step >= w.at {
		w.move(at)
	}
	if w.at-step >= windowSteps {
		return // too long ago
	}
	w.used[step%windowSteps] += units
	w.sum += units
}

// room returns what the limits leave in the present window.
func (w *window) room(now time.Time, bounds Bounds, l Limits) float64 {
	if w.step <= 0 {
		return l.Burst
	}
	w.move(now)
	return bounds.inWindow(l) - w.sum
}

// summaryParts is the number of parts in which a window is told.
const summaryParts = 8

// parts returns what was used, in equal parts of the window, the last one first.
func (w *window) parts(now time.Time) []float64 {
	if w.step <= 0 {
		return nil
	}
	w.move(now)
	const each = windowSteps / summaryParts
	list := make([]float64, summaryParts)
	for i := range int64(windowSteps) {
		list[i/each] += w.used[(w.at-i+windowSteps)%windowSteps]
	}
	return list
}
