package quota

import "time"

// windowSteps is the number of steps in which usage is counted over a window: usage older than a
// window may still count for up to one step.
const windowSteps = 32

// window counts the usage within the last window.
type window struct {
	step time.Duration
	used [windowSteps]float64
	sum  float64
	at   int64 // number of the latest step
}

func newWindow(over time.Duration) window { return window{step: over / windowSteps} }

func (w *window) clear() { w.used, w.sum = [windowSteps]float64{}, 0 }

// advance moves the window to now and drops older usage.
func (w *window) advance(now time.Time) {
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

// add counts units that were used at the given time, which must not be later than now.
func (w *window) add(at time.Time, units float64) {
	if w.step <= 0 {
		return
	}
	step := at.UnixNano() / int64(w.step)
	if step >= w.at {
		w.advance(at)
	}
	if w.at-step >= windowSteps {
		return // before the window
	}
	w.used[step%windowSteps] += units
	w.sum += units
}

// room returns what the limits leave in the current window.
func (w *window) room(now time.Time, bounds Bounds, l Limits) float64 {
	if w.step <= 0 {
		return l.Burst
	}
	w.advance(now)
	return bounds.inWindow(l) - w.sum
}

// summaryPeriods is the number of periods in which a summary reports the usage of a window.
const summaryPeriods = 8

// periods returns the usage in equal periods of the window, the latest first.
func (w *window) periods(now time.Time) []float64 {
	if w.step <= 0 {
		return nil
	}
	w.advance(now)
	const perPeriod = windowSteps / summaryPeriods
	list := make([]float64, summaryPeriods)
	for i := range int64(windowSteps) {
		list[i/perPeriod] += w.used[(w.at-i+windowSteps)%windowSteps]
	}
	return list
}
