package retry

import "time"

// shareSettleTime is how long a process must be listed before it uses its part of the slack,
// and how old its knowledge of the list may be. All others that use a part have then read
// the list since this process was on it, or use none.
const shareSettleTime = 3 * time.Second

// Listing is what a process knows of the list of all processes that share the slack.
type Listing struct {
	// Listed: this process is on the list and will stay there. One that stops is not: the
	// others divide the slack without it, while it may still serve.
	Listed bool
	// Processes is the length of the list, as it was Age ago.
	Processes int
	Age       time.Duration
}

// Sharing derives which part of the slack a process may use, so that the parts of all
// processes add up to the whole at most. It rests on a list that the processes read at
// different times, or not at all while they are cut off from it.
type Sharing struct {
	// settling is when the process was listed as far as it knows; zero: it is not.
	settling time.Time
	// first: the process has used its part since its start, as all processes start for the
	// first time.
	first bool
}

// NewFirstSharing returns the Sharing of a process that starts for the first time together
// with all others. Until it has read the list again it may count too few of them: the i-th
// that is listed counts i at least.
func NewFirstSharing() Sharing { return Sharing{first: true} }

// Part returns the part of the slack that the process may use from now on, 0 to 1. It must be
// called again well within shareSettleTime.
func (s *Sharing) Part(now time.Time, l Listing) float64 {
	if !l.Listed || l.Age > shareSettleTime {
		if !s.settling.IsZero() {
			s.first = false
		}
		s.settling = time.Time{}
		return 0
	}
	if s.settling.IsZero() {
		s.settling = now
	}
	if !s.first && now.Sub(s.settling) < shareSettleTime {
		return 0
	}
	return 1 / float64(max(l.Processes, 1))
}
