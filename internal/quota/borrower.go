package quota

import "time"

// Verdict is a borrower's decision on a request.
type Verdict int

// The verdicts.
const (
	// Granted: the request is admitted and counted.
	Granted Verdict = iota
	// AskLender: the lender has to decide.
	AskLender
	// Denied: the request must be rejected.
	Denied
)

// Borrower is one entry's view of the capped accounts. It is not safe for concurrent
// use.
type Borrower struct {
	bounds  Bounds
	entries int
	// confirmedAt is when a lender answered last, at first the start.
	confirmedAt time.Time
	accounts    map[Account]*balance
}

// balance is the state of one account.
type balance struct {
	used usage
	// line is what is left of the credit line; it lapses at lineUntil.
	line      float64
	lineUntil time.Time
	drawn     float64
	// total and level are what the lender last reported, at reportedAt.
	total, level float64
	reportedAt   time.Time
	lender       string
	// usedSinceReport is what was used since then.
	usedSinceReport float64
	// changed: there were requests since the last report.
	changed bool
}

// NewBorrower returns a borrower that knows of no other entry.
func NewBorrower(now time.Time, bounds Bounds) *Borrower {
	return &Borrower{bounds: bounds, confirmedAt: now, accounts: map[Account]*balance{}}
}

// SetEntries sets the number of entries that share the caps, this one included; 0: not
// known yet.
func (b *Borrower) SetEntries(n int) { b.entries = n }

// Isolated reports whether no lender has answered for so long that the entry admits
// from its own part of the budget.
func (b *Borrower) Isolated(now time.Time) bool {
	return now.Sub(b.confirmedAt) >= isolationTime(b.entries)
}

// Admit decides on a request of an account. The retry delay is set if it is denied.
func (b *Borrower) Admit(now time.Time, id Account, limit Cap, cost float64) (Verdict, time.Duration) {
	a := b.account(id)
	a.changed = true
	a.lapse(now)
	if a.line >= cost {
		a.line -= cost
		a.draw(now, b.bounds.Window, cost)
		return Granted, 0
	}
	if !b.Isolated(now) {
		return AskLender, 0
	}
	if b.entries == 0 {
		return Denied, isolationTime(b.entries)
	}
	if excess := a.excess(now, b.bounds, limit, b.entries, cost); excess > 0 {
		return Denied, max(a.used.until(now, b.bounds.Window, excess), minRetryAfter)
	}
	a.draw(now, b.bounds.Window, cost)
	return Granted, 0
}

// excess returns by how much a request exceeds what an entry without a lender may admit:
// an equal part of the budget over the window, and an equal part of what was left of the
// budget when its lender answered last.
func (a *balance) excess(now time.Time, bounds Bounds, limit Cap, entries int, cost float64) float64 {
	budget, used := bounds.budget(limit), a.used.total(now, bounds.Window)
	left := budget - bounds.remaining(limit, a.total, now.Sub(a.reportedAt))
	return cost + max(used-budget/float64(entries), min(a.usedSinceReport, used)-left/float64(entries))
}

func (b *Borrower) account(id Account) *balance {
	a := b.accounts[id]
	if a == nil {
		a = &balance{}
		b.accounts[id] = a
	}
	return a
}

// lapse drops a credit line that is not valid any more.
func (a *balance) lapse(now time.Time) {
	if a.line != 0 && !now.Before(a.lineUntil) {
		a.line = 0
	}
}

// draw counts units that no lender has counted yet.
func (a *balance) draw(now time.Time, window time.Duration, units float64) {
	a.changed = true
	a.used.add(now, window, units)
	a.drawn += units
	a.usedSinceReport += units
}

// Charge counts units that may run without having been admitted, as with a second run
// of a request.
func (b *Borrower) Charge(now time.Time, id Account, cost float64) {
	b.account(id).draw(now, b.bounds.Window, cost)
}

// Return counts units as unused that were admitted at the given time and did not run.
func (b *Borrower) Return(now, admitted time.Time, id Account, cost float64) {
	a := b.accounts[id]
	if a == nil || now.Sub(admitted) >= b.bounds.Window {
		return
	}
	a.draw(now, b.bounds.Window, -min(cost, a.used.total(now, b.bounds.Window)))
}

// Position returns the state of an account for a report to a lender.
func (b *Borrower) Position(now time.Time, id Account, lender string) Position {
	a := b.account(id)
	a.lapse(now)
	p := Position{Account: id, Used: a.used.total(now, b.bounds.Window), Balance: a.line, Drawn: a.drawn, Borrows: a.changed}
	if a.lender != lender && a.lender != "" {
		p.Total, p.TotalAge = a.total, now.Sub(a.reportedAt)
	}
	return p
}

// Changes returns the positions of all accounts that changed since the last call, or
// of all accounts in use if the lender may not know them. ours selects the accounts of
// the lender.
func (b *Borrower) Changes(now time.Time, lender string, all bool, ours func(Account) bool) []Position {
	var items []Position
	for id, a := range b.accounts {
		if !ours(id) {
			continue
		}
		p := b.Position(now, id, lender)
		if p.Used == 0 && p.Balance == 0 && !a.changed {
			delete(b.accounts, id)
			continue
		}
		if a.changed || all || a.lender != lender {
			items = append(items, p)
		}
		a.changed = false
	}
	return items
}

// Receive applies a lender's answer. The cost of a request that it admits is counted by
// Taken.
func (b *Borrower) Receive(now time.Time, lender string, g Grant) {
	b.confirmedAt = now
	for _, loan := range g.Items {
		a := b.account(loan.Account)
		a.lapse(now)
		a.total, a.level, a.reportedAt, a.lender, a.usedSinceReport = loan.Total, loan.Level, now, lender, 0
		if loan.Line > 0 {
			a.line += loan.Line
			a.lineUntil = now.Add(loanTime)
		}
	}
}

// Taken counts a request that a lender admitted.
func (b *Borrower) Taken(now time.Time, id Account, cost float64) {
	b.account(id).used.add(now, b.bounds.Window, cost)
}

// State is what an entry knows of an account, for logs and operators.
type State struct {
	// Used by this entry in the last window, Line what it may use without asking.
	Used, Line float64
	// Total used by all entries and Level of the bucket, as reported Age ago.
	Total, Level float64
	Age          time.Duration
}

// State returns what the entry knows of an account.
func (b *Borrower) State(now time.Time, id Account) State {
	a := b.accounts[id]
	if a == nil {
		return State{}
	}
	a.lapse(now)
	s := State{Used: a.used.total(now, b.bounds.Window), Line: a.line, Total: a.total, Level: a.level}
	if !a.reportedAt.IsZero() {
		s.Age = now.Sub(a.reportedAt)
	}
	return s
}
