package quota

import "time"

const (
	// grantLife is how long a grant counts that its member does not confirm.
	grantLife = 3 * time.Second
	// maxAnswered bounds the answers that are kept for repeated reports.
	maxAnswered = 64
)

// member is an entry that has reported.
type member struct {
	start  uint64
	number uint64
	seenAt time.Time
	// newest is the key of the newest report. answered are the answers to recent ones:
	// a report may arrive twice.
	newest   uint64
	answered map[uint64]Grant
	accounts map[Account]*loanState
}

// loanState is what one member has used and borrowed of an account.
type loanState struct {
	used, balance, drawn float64
	reportedAt           time.Time
	// granted lists what was granted since, and may be missing in the report.
	granted []grantRecord
	// ended is what earlier runs of the member's process had used and borrowed; it
	// counts until endedUntil.
	ended      float64
	endedUntil time.Time
}

type grantRecord struct {
	number uint64
	at     time.Time
	units  float64
}

// Live reports whether an entry is a live member.
func (l *Lender) Live(now time.Time, entry string) bool {
	m := l.members[entry]
	return m != nil && now.Sub(m.seenAt) < lapseTime(l.entries)
}

// live returns the number of live members.
func (l *Lender) live(now time.Time) int {
	live := 0
	for _, m := range l.members {
		if now.Sub(m.seenAt) < lapseTime(l.entries) {
			live++
		}
	}
	return live
}

// countLive updates since when most entries are live members.
func (l *Lender) countLive(now time.Time) {
	switch most := 2*l.live(now) > l.entries; {
	case !most:
		l.reachedSince = time.Time{}
	case l.reachedSince.IsZero():
		l.reachedSince = now
	}
}

// member returns the sender of a report, which is live from now on.
func (l *Lender) member(now time.Time, r Report) *member {
	m := l.members[r.Entry]
	if m == nil {
		m = &member{start: r.Start, accounts: map[Account]*loanState{}, answered: map[uint64]Grant{}}
		l.members[r.Entry] = m
	}
	if m.start != r.Start {
		m.start, m.newest = r.Start, 0
		clear(m.answered)
		for _, s := range m.accounts {
			s.ended, s.endedUntil = s.held(now)+s.endedAt(now), now.Add(l.bounds.Window)
			s.used, s.balance, s.drawn, s.granted = 0, 0, 0, nil
		}
	}
	m.seenAt = now
	return m
}

func (s *loanState) endedAt(now time.Time) float64 {
	if now.Before(s.endedUntil) {
		return s.ended
	}
	return 0
}

// held returns what the member has used and can still use.
func (s *loanState) held(now time.Time) float64 {
	sum := s.used
	if now.Sub(s.reportedAt) < loanTime {
		sum += s.balance
	}
	for _, g := range s.granted {
		sum += g.units
	}
	return sum
}

// lapsed returns what has left the window of the reported use. A live member reports an
// account again only when it uses more.
func (s *loanState) lapsed(now time.Time, window time.Duration) float64 {
	if now.Sub(s.reportedAt) < window+window/usageSlots {
		return 0
	}
	return s.used
}

// report applies a position, of which the grants that the member had received are part.
// It returns what the member has drawn since its last report.
func (s *loanState) report(now time.Time, received uint64, p Position) (drawn float64) {
	if !s.reportedAt.IsZero() {
		drawn = p.Drawn - s.drawn
	}
	s.used, s.balance, s.drawn, s.reportedAt = p.Used, p.Balance, p.Drawn, now
	kept := s.granted[:0]
	for _, g := range s.granted {
		if g.number > received && now.Sub(g.at) < grantLife {
			kept = append(kept, g)
		}
	}
	s.granted = kept
	return drawn
}
