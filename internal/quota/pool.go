package quota

import "time"

const (
	// startLevel is the share of the depth that the bucket of a lender holds at first that
	// may have succeeded another one. With an empty one callers are refused for seconds
	// after all entries have restarted.
	startLevel = 0.15
	// maxDebt is the largest debt of a bucket from credit lines, as a share of its depth.
	maxDebt = 0.1
	// sumLife is how long the sum over all members is used before it is computed again.
	sumLife = 20 * time.Millisecond
)

// pool is the state of one account.
type pool struct {
	level    float64
	filledAt time.Time
	promises promises
	// inheritedTotal is the usage of all entries at inheritedAt, as an earlier lender
	// reported it; grantedSince was granted since then, or just before it was received.
	inheritedTotal, grantedSince float64
	inheritedAt                  time.Time
	// recent counts what was granted in the last lapseTime.
	recent usage
	// succeededAt is when an entry last came from another lender.
	succeededAt time.Time
	// committed and total are sums over all members, computed at summedAt.
	committed, total float64
	summedAt         time.Time
}

// draw takes from the bucket what was admitted without it.
func (q *pool) draw(units, depth float64) {
	floor := min(q.level, -maxDebt*depth)
	q.level = min(max(q.level-units, floor), depth)
}

// pool returns the state of an account, with its bucket filled up to now.
func (l *Lender) pool(now time.Time, id Account, limit Cap) *pool {
	q := l.pools[id]
	if q == nil {
		q = &pool{level: l.bounds.depth(limit), filledAt: now}
		if l.reachedSince.IsZero() || now.Sub(l.reachedSince) < l.bounds.Window {
			q.level *= startLevel
		}
		l.pools[id] = q
	}
	if since := now.Sub(q.filledAt); since > 0 {
		q.level = min(q.level+l.rate(now, q, limit)*since.Seconds(), l.bounds.depth(limit))
		q.filledAt = now
	}
	q.promises.sweep(now)
	return q
}

// inheritTotal records a total of an earlier lender.
func (l *Lender) inheritTotal(now time.Time, q *pool, p Position, limit Cap) {
	if p.Total <= 0 {
		return
	}
	if !l.succeeding(now, q) {
		q.level = min(q.level, startLevel*l.bounds.depth(limit))
	}
	q.succeededAt = now
	if l.bounds.remaining(limit, p.Total, p.TotalAge)+q.recent.total(now, lapseTime(l.entries)) > l.inherited(now, q, limit) {
		q.inheritedTotal, q.inheritedAt, q.grantedSince = p.Total, now.Add(-p.TotalAge), q.recent.total(now, lapseTime(l.entries))
	}
}

// succeeding reports whether entries have just come from another lender, which may still
// count them as its members.
func (l *Lender) succeeding(now time.Time, q *pool) bool {
	return !q.succeededAt.IsZero() && now.Sub(q.succeededAt) < lapseTime(l.entries)
}

// rate returns how fast the bucket fills. While another lender may be active, it is this
// lender's part.
func (l *Lender) rate(now time.Time, q *pool, limit Cap) float64 {
	if !l.succeeding(now, q) {
		return limit.Rate
	}
	return limit.Rate * float64(min(l.live(now), l.entries)) / float64(l.entries)
}

// inherited returns what is left in the window of the usage that an earlier lender
// reported, plus what was granted since.
func (l *Lender) inherited(now time.Time, q *pool, limit Cap) float64 {
	if now.Sub(q.inheritedAt) >= l.bounds.Window {
		return 0
	}
	return l.bounds.remaining(limit, q.inheritedTotal, now.Sub(q.inheritedAt)) + q.grantedSince
}

// sum computes what is committed of an account: what each live member holds, and for
// each other entry its part of the budget or what it was last known to hold.
func (l *Lender) sum(now time.Time, id Account, q *pool, limit Cap) {
	if now.Sub(q.summedAt) < sumLife && !q.summedAt.IsZero() {
		return
	}
	q.summedAt = now
	budget := l.bounds.budget(limit)
	share := budget / float64(l.entries)
	q.committed, q.total = 0, 0
	known := 0
	for name, m := range l.members {
		held := 0.0
		if s := m.accounts[id]; s != nil && now.Sub(s.reportedAt) < l.bounds.Window+loanTime {
			held = s.held(now) + s.endedAt(now)
			if l.Live(now, name) {
				held -= s.lapsed(now, l.bounds.Window)
			}
		}
		q.total += held
		switch age := now.Sub(m.seenAt); {
		case age < lapseTime(l.entries):
			q.committed += held
		case age < l.bounds.Window:
			q.committed += max(share, held)
		default:
			continue
		}
		known++
	}
	q.committed += share * float64(max(l.entries-known, 0))
	inherited := l.inherited(now, q, limit)
	q.committed, q.total = max(q.committed, inherited), max(q.total, inherited)
}
