package retry

import "time"

// Window allows retries up to a ratio of the requests of a sliding window, plus a
// fixed number. Unlike a Budget, it allows all retries of a window at once, which is
// needed when a server fails while it runs many requests. The limit holds for every
// position of the window.
type Window struct {
	limits Limits
	slots  [windowSlots]windowSlot
}

// Limits are the limits of a Window.
type Limits struct {
	// Span is the length of the window.
	Span time.Duration
	// Ratio of retries to requests in the window; Slack is the number of retries
	// allowed in addition.
	Ratio, Slack float64
}

// windowSlots is the number of slots, one more than a window spans. The oldest slot
// is only partly in the window: its retries count and its requests don't, so that the
// limit holds for every position of the window.
const windowSlots = 21

type windowSlot struct {
	// number of the slot, counted from the Unix epoch. A slot whose number is out of
	// date counts as empty.
	number            int64
	requests, retries int
}

// NewWindow returns an empty window: a process that has just started may use only
// Limits.Slack.
func NewWindow(limits Limits) *Window { return &Window{limits: limits} }

// SetLimits changes the limits, for example when the number of processes that share
// them changes.
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

// Request records a request.
func (w *Window) Request(now time.Time) { w.slot(now).requests++ }

// Usage is what a Window counts.
type Usage struct {
	// Requests and Retries in the window; Available retries are allowed now.
	Requests, Retries int
	Available         float64
}

// Usage returns what is in the window that ends now.
func (w *Window) Usage(now time.Time) Usage {
	newest := w.numberAt(now)
	var u Usage
	for _, s := range w.slots {
		age := newest - s.number
		if age < 0 || age >= windowSlots {
			continue
		}
		u.Retries += s.retries
		if age < windowSlots-1 {
			u.Requests += s.requests
		}
	}
	u.Available = w.limits.Ratio*float64(u.Requests) + w.limits.Slack - float64(u.Retries)
	return u
}

// Available returns how many retries are allowed now.
func (w *Window) Available(now time.Time) float64 { return w.Usage(now).Available }

// Allow reports whether a retry is allowed, and records it in the window if so. A
// retry that could not end before the deadline is not allowed; need is the minimum
// duration of an attempt.
func (w *Window) Allow(now, deadline time.Time, need time.Duration) bool {
	if now.Add(need).After(deadline) || w.Available(now) < 1 {
		return false
	}
	w.slot(now).retries++
	return true
}
