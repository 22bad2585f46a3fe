package quota

import "time"

// Report is a message of an entry to its lender. It keeps the entry's membership alive,
// and tells what changed in its accounts.
type Report struct {
	Entry string
	// Start identifies the run of the entry's process.
	Start uint64
	// Key pairs the report with its answer.
	Key uint64
	// Received is the number of the newest grant that the entry has received from this
	// lender.
	Received uint64
	Items    []Position
}

// Position is the state of an account at one entry, in units.
type Position struct {
	Account Account
	// Used in the window that ends now.
	Used float64
	// Balance is what is left of the entry's credit line.
	Balance float64
	// Drawn is what the entry has counted without asking a lender, less
	// what it has counted as unused, since its process started.
	Drawn float64
	// Total is the usage of all entries as an earlier lender reported it, TotalAge ago; 0:
	// unknown.
	Total    float64
	TotalAge time.Duration
	// Borrows: the entry had requests of the account since its last report.
	Borrows bool
	// Need is the cost of a request that waits for the answer; 0: none does.
	Need float64
	// Rank of that request's priority, 0 for the highest.
	Rank int
	// Caller identifies the request over its caller's attempts; 0: unknown.
	Caller uint64
	// Patience is how long its caller can be told to wait, so that it is served in time.
	Patience time.Duration
}

// Grant is a lender's answer to a report.
type Grant struct {
	Key uint64
	// Number increases with each grant of the lender to the entry.
	Number uint64
	Items  []Loan
}

// Loan is a lender's answer on one account.
type Loan struct {
	Account Account
	// Admitted: the waiting request is admitted. Otherwise it may return after
	// RetryAfter.
	Admitted   bool
	RetryAfter time.Duration
	// Line is what the entry may use in addition to its balance.
	Line float64
	// Total is what all entries have used in the window, and Level what the bucket
	// holds.
	Total float64
	Level float64
}
