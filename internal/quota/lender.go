package quota

import "time"

const (
	// lineShare of what is free of a budget is lent ahead, divided among all entries.
	lineShare = 0.25
	// lineLevel is the share of the bucket's depth above which credit lines are lent.
	// lineFactor times what is above it bounds the lines: they are admitted in addition to
	// the bucket when the lender's counts are lost.
	lineLevel  = 0.5
	lineFactor = 2
	// rankReserve is the share of the depth that each rank leaves to the rank above it,
	// for up to maxRank ranks.
	rankReserve = 0.01
	maxRank     = 3
	// smallShare of the depth is the size of a request that need not wait for others: it
	// takes too little from them.
	smallShare = 0.002
	// maxPromise bounds how far ahead callers are promised to be admitted. All that is
	// promised goes to those whose callers can wait for so long.
	maxPromise = 200 * time.Millisecond
	// overloadRetryAfter is the least retry delay of callers that are promised nothing: the
	// workspace sends more than its cap, and they would be refused again before.
	overloadRetryAfter = 2 * time.Second
	// unknownCapRetryAfter is the retry delay while the lender does not know a cap yet.
	unknownCapRetryAfter = 300 * time.Millisecond
)

// Lender counts what all entries have admitted of its accounts, and decides who may
// admit more. It is not safe for concurrent use.
type Lender struct {
	bounds  Bounds
	entries int
	members map[string]*member
	pools   map[Account]*pool
	// reachedSince is when more than half of the entries became live members; zero: they
	// are not.
	reachedSince time.Time
}

// NewLender returns a lender without members.
func NewLender(bounds Bounds) *Lender {
	return &Lender{bounds: bounds, entries: 1, members: map[string]*member{}, pools: map[Account]*pool{}}
}

// SetEntries sets the number of entries that share the caps, this one included.
func (l *Lender) SetEntries(n int) { l.entries = max(n, 1) }

// Handle applies a report and returns the answer. capOf returns the cap of an account.
func (l *Lender) Handle(now time.Time, r Report, capOf func(Account) Cap) Grant {
	m := l.member(now, r)
	l.countLive(now)
	if grant, repeated := m.answered[r.Key]; repeated {
		return grant
	}
	m.number++
	grant := Grant{Key: r.Key, Number: m.number}
	for _, item := range r.Items {
		grant.Items = append(grant.Items, l.answer(now, m, &r, item, capOf(item.Account)))
	}
	m.newest = max(m.newest, r.Key)
	if len(m.answered) >= maxAnswered {
		clear(m.answered)
	}
	m.answered[r.Key] = grant
	return grant
}

func (l *Lender) answer(now time.Time, m *member, r *Report, p Position, limit Cap) Loan {
	loan := Loan{Account: p.Account}
	if !limit.Limited() {
		// The sender has a newer configuration. It must not be opened by this one.
		loan.RetryAfter = unknownCapRetryAfter
		return loan
	}
	s := m.accounts[p.Account]
	if s == nil {
		s = &loanState{}
		m.accounts[p.Account] = s
	}
	drawn := 0.0
	if r.Key > m.newest {
		drawn = s.report(now, r.Received, p)
	}
	q := l.pool(now, p.Account, limit)
	l.inheritTotal(now, q, p, limit)
	q.draw(drawn, l.bounds.depth(limit))
	l.sum(now, p.Account, q, limit)
	if p.Need > 0 {
		loan.Admitted, loan.RetryAfter = l.decide(now, q, p, limit)
		if loan.Admitted {
			l.grant(now, q, m, s, p.Need)
		}
	}
	if p.Borrows {
		if loan.Line = l.line(now, q, p, limit); loan.Line > 0 {
			l.grant(now, q, m, s, loan.Line)
		}
	}
	loan.Total, loan.Level = q.total, q.level
	return loan
}

// grant counts units that a member was granted.
func (l *Lender) grant(now time.Time, q *pool, m *member, s *loanState, units float64) {
	s.granted = append(s.granted, grantRecord{number: m.number, at: now, units: units})
	q.committed += units
	q.total += units
	q.grantedSince += units
	q.recent.add(now, lapseTime(l.entries), units)
}

// decide decides on a request that waits for the answer.
func (l *Lender) decide(now time.Time, q *pool, p Position, limit Cap) (admitted bool, retryAfter time.Duration) {
	depth := l.bounds.depth(limit)
	reserve, others := rankReserve*float64(min(p.Rank, maxRank))*depth, q.promises.held
	if p.Need <= smallShare*depth {
		reserve, others = 0, 0
	}
	if q.promises.due(now, p.Caller) {
		others = 0
	}
	free := l.bounds.budget(limit) - q.committed - p.Need
	if q.level-others > reserve && free >= 0 {
		q.promises.remove(p.Caller)
		q.level -= p.Need
		return true, 0
	}
	wait := max(perSecond(reserve+q.promises.held-q.level, limit.Rate), perSecond(-free, limit.Rate), 0) + minRetryAfter
	if wait > min(p.Patience, maxPromise) || p.Caller == 0 || free < 0 {
		return false, max(wait, overloadRetryAfter)
	}
	q.promises.add(p.Caller, now.Add(wait), p.Need)
	return false, wait
}

// line returns the credit that a member is lent ahead.
func (l *Lender) line(now time.Time, q *pool, p Position, limit Cap) float64 {
	depth, free := l.bounds.depth(limit), l.bounds.budget(limit)-q.committed
	above := q.level - q.promises.held - lineLevel*depth
	line := lineShare*min(free, lineFactor*above)/float64(l.entries) - p.Balance
	if line < minLineShare*depth/float64(l.entries) {
		return 0
	}
	return line
}

// minLineShare of an entry's part of the bucket is the smallest credit line.
const minLineShare = 0.1

// Forget removes what is not needed any more.
func (l *Lender) Forget(now time.Time) {
	for name, m := range l.members {
		for id, s := range m.accounts {
			if now.Sub(s.reportedAt) > l.bounds.Window+loanTime && !now.Before(s.endedUntil) {
				delete(m.accounts, id)
			}
		}
		if now.Sub(m.seenAt) > l.bounds.Window+loanTime {
			delete(l.members, name)
		}
	}
	for id, q := range l.pools {
		if now.Sub(q.filledAt) > l.bounds.Window+loanTime {
			delete(l.pools, id)
		}
	}
}
