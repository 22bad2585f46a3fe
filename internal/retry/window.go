package retry

import "time"

// Window allows second sends as a share of the requests of a sliding window, and
// some more. Unlike a Budget, which saves up little, it lets a burst of them
// come at once when a server is lost with all that ran there, and holds whatever
// window is looked at.
type Window struct {
	limits Limits
	slots  [windowSlots]windowSlot
}

// Limits of a Window.
type Limits struct {
	// Span of the window.
	Span time.Duration
	// Ratio of the window's requests that may be sent again, Slack how many more.
	Ratio, Slack float64
}

// windowSlots a window is divided into. The oldest counts for repeats and not
// for requests, so that no window that is looked at holds too many.
const windowSlots = 21

type windowSlot struct {
	// number of the slot since the clock's zero; an older one is empty.
	number            int64
	requests, repeats int
}

// NewWindow makes an empty window: a process that just started has the slack only.
func NewWindow(limits Limits) *Window { return &Window{limits: limits} }

// SetLimits changes them: the number of processes that share them changed.
func (w *Window) SetLimits(limits Limits) { w.limits = limits }

func (w *Window) numberAt(now time.Time) int64 {
	return now.UnixNano() / (int64(w.limits.Span)/(windowSlots-1) + 1)
}

func (w *Window) slot(now time.Time) *windowSlot {
	number := w.numberAt(now)
	s := &w.slots[((number%windowSlots)+windowSlots)%windowSlots]
	if s.number != number {
		*s = windowSlot{number: number}
	}
	return s
}

// Request counts a request.
func (w *Window) Request(now time.Time) { w.slot(now).requests++ }

// Available is how many second sends are allowed now.
func (w *Window) Available(now time.Time) float64 {
	newest := w.numberAt(now)
	requests, repeats := 0, 0
	for _, s := range w.slots {
		age := newest - s.number
		if age < 0 || age >= windowSlots {
			continue
		}
		repeats += s.repeats
		if age < windowSlots-1 {
			requests += s.requests
		}
	}
	return w.limits.Ratio*float64(requests) + w.limits.Slack - float64(repeats)
}

// Allow takes a second send. It refuses one that could not end before the
// deadline: need is the time that an attempt takes at least.
func (w *Window) Allow(now, deadline time.Time, need time.Duration) bool {
	if now.Add(need).After(deadline) || w.Available(now) < 1 {
		return false
	}
	w.slot(now).repeats++
	return true
}
