package quota

import "time"

const (
	// lineShare of what is free of a budget is lent ahead, divided among all entries.
	lineShare = 0.25
	// lineLevel is the share of the bucket's depth above which credit lines are lent.
	lineLevel = 0.5
	// startLevel is the share of the depth that the bucket of a lender holds at first that
	// may have succeeded another one.
	startLevel = 0.25
	// maxDebt is the largest debt of a bucket from credit lines, as a share of its depth.
	maxDebt = 0.1
	// rankReserve is the share of the depth that each rank leaves to the rank above it,
	// for up to maxRank ranks.
	rankReserve = 0.05
	maxRank     = 3
	// sumLife is how long the sum over all members is used before it is computed again.
	sumLife = 20 * time.Millisecond
	// grantLife is how long a grant counts that its member does not confirm.
	grantLife = 3 * time.Second
	// maxAnswered bounds the answers that are kept for repeated reports.
	maxAnswered = 64
)

// Lender knows what all entries have admitted of the accounts that it lends, and
// decides who may admit more. It is not safe for concurrent use.
type Lender struct {
	bounds  Bounds
	entries int
	members map[string]*member
	pools   map[Account]*pool
	// reachedSince is when more than half of the entries became live members; zero: they
	// are not.
	reachedSince time.Time
}

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

// pool is the state of one account.
type pool struct {
	level    float64
	filledAt time.Time
	promises promises
	// toldTotal is what all entries had used by the word of an earlier lender, at toldAt;
	// grantedSince was granted since it was heard.
	toldTotal, grantedSince float64
	toldAt                  time.Time
	// heardAt is when an entry last came from another lender.
	heardAt time.Time
	// committed and total are sums over all members, computed at summedAt.
	committed, total float64
	summedAt         time.Time
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

func (l *Lender) answer(now time.Time, m *member, r *Report, p Position, limit Cap) Loan {
	loan := Loan{Account: p.Account}
	if !limit.Limited() {
		loan.Admitted = p.Need > 0
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
	l.hearTotal(now, q, p, limit)
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

// draw takes from the bucket what was admitted without it.
func (q *pool) draw(units, depth float64) {
	floor := min(q.level, -maxDebt*depth)
	q.level = min(max(q.level-units, floor), depth)
}

// grant counts units that a member was granted.
func (l *Lender) grant(now time.Time, q *pool, m *member, s *loanState, units float64) {
	s.granted = append(s.granted, grantRecord{number: m.number, at: now, units: units})
	q.committed += units
	q.total += units
	q.grantedSince += units
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

// hearTotal records a total of an earlier lender.
func (l *Lender) hearTotal(now time.Time, q *pool, p Position, limit Cap) {
	if p.Total <= 0 {
		return
	}
	if !l.succeeding(now, q) {
		q.level = min(q.level, startLevel*l.bounds.depth(limit))
	}
	q.heardAt = now
	if l.bounds.remaining(limit, p.Total, p.TotalAge) > l.told(now, q, limit) {
		q.toldTotal, q.toldAt, q.grantedSince = p.Total, now.Add(-p.TotalAge), 0
	}
}

// succeeding reports whether entries have just come from another lender, which may still
// count them as its members.
func (l *Lender) succeeding(now time.Time, q *pool) bool {
	return !q.heardAt.IsZero() && now.Sub(q.heardAt) < lapseTime(l.entries)
}

// rate returns how fast the bucket fills. While another lender may be active, it is this
// lender's part.
func (l *Lender) rate(now time.Time, q *pool, limit Cap) float64 {
	if !l.succeeding(now, q) {
		return limit.Rate
	}
	return limit.Rate * float64(min(l.live(now), l.entries)) / float64(l.entries)
}

// told returns what is left in the window of what all entries had used by the word of an
// earlier lender, plus what was granted since.
func (l *Lender) told(now time.Time, q *pool, limit Cap) float64 {
	if now.Sub(q.toldAt) >= l.bounds.Window {
		return 0
	}
	return l.bounds.remaining(limit, q.toldTotal, now.Sub(q.toldAt)) + q.grantedSince
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
	for _, m := range l.members {
		held := 0.0
		if s := m.accounts[id]; s != nil && now.Sub(s.reportedAt) < l.bounds.Window+loanTime {
			held = s.held(now) + s.endedAt(now)
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
	told := l.told(now, q, limit)
	q.committed, q.total = max(q.committed, told), max(q.total, told)
}

// decide decides on a request that waits for the answer.
func (l *Lender) decide(now time.Time, q *pool, p Position, limit Cap) (admitted bool, retryAfter time.Duration) {
	reserve := rankReserve * float64(min(p.Rank, maxRank)) * l.bounds.depth(limit)
	others := q.promises.held
	returned := q.promises.due(now, p.Caller)
	if returned {
		others = 0
	}
	free := l.bounds.budget(limit) - q.committed - p.Need
	if q.level-others > reserve && free >= 0 {
		q.promises.remove(p.Caller)
		q.level -= p.Need
		return true, 0
	}
	wait := max(perSecond(reserve+q.promises.held-q.level, limit.Rate), perSecond(-free, limit.Rate), 0) + minRetryAfter
	if wait <= p.Patience && p.Caller != 0 && free >= 0 {
		q.promises.add(p.Caller, now.Add(wait), p.Need)
	}
	return false, wait
}

// line returns the credit that a member is lent ahead.
func (l *Lender) line(now time.Time, q *pool, p Position, limit Cap) float64 {
	if q.level-q.promises.held < lineLevel*l.bounds.depth(limit) {
		return 0
	}
	free := l.bounds.budget(limit) - q.committed
	line := free*lineShare/float64(l.entries) - p.Balance
	if line < minLineShare*l.bounds.depth(limit)/float64(l.entries) {
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
