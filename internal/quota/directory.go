package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/jayproxy/jayproxy/internal/shard"
)

const (
	// entriesPerLender is how many entries share one lender.
	entriesPerLender = 160
	// silentAnswers consecutive answers must be missing, over at least silentTime, before
	// a lender is passed over: datagrams get lost, and a VM that is throttled by its CPU
	// quota continues within a tenth of a second.
	silentAnswers = 2
	silentTime    = 30 * time.Millisecond
	// probePause is the time between two reports to a lender that is passed over.
	probePause = 500 * time.Millisecond
)

// Directory derives the lender of each account from the list of entries. Entries that
// have the same list and reach the same entries choose the same lender; any other choice
// costs accuracy below the cap, never the cap.
type Directory struct {
	self    string
	entries int
	// ranked are the entries that may lend, in order of a hash of their names.
	ranked []shard.Entry
	silent map[string]*silence
}

// silence is a lender that did not answer.
type silence struct {
	missing  int
	since    time.Time
	passed   bool
	probedAt time.Time
}

// NewDirectory returns a directory of the entry with the given name.
func NewDirectory(self string) *Directory {
	return &Directory{self: self, silent: map[string]*silence{}}
}

// SetEntries sets all entries.
func (d *Directory) SetEntries(entries []shard.Entry) {
	d.entries = len(entries)
	d.ranked = slices.Clone(shard.Eligible(entries))
	slices.SortFunc(d.ranked, func(a, b shard.Entry) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(a.Name), xxh3.HashString(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	for name := range d.silent {
		if !slices.ContainsFunc(d.ranked, func(e shard.Entry) bool { return e.Name == name }) {
			delete(d.silent, name)
		}
	}
}

// lenders returns the number of lenders that share the accounts.
func (d *Directory) lenders() int {
	return min((d.entries+entriesPerLender-1)/entriesPerLender, len(d.ranked))
}

// LenderOf returns the lender of an account. ok is false if there is none.
func (d *Directory) LenderOf(id Account) (lender shard.Entry, ok bool) {
	n := d.lenders()
	if n == 0 {
		return shard.Entry{}, false
	}
	first := int(id) % n
	for i := range d.ranked {
		e := d.ranked[(first+i)%len(d.ranked)]
		if s := d.silent[e.Name]; s == nil || !s.passed {
			return e, true
		}
	}
	return shard.Entry{}, false
}

// Lenders returns the lenders that this entry reports to.
func (d *Directory) Lenders() []shard.Entry {
	var all []shard.Entry
	for i := range d.lenders() {
		if e, ok := d.LenderOf(Account(i)); ok && !slices.Contains(all, e) { //nolint:gosec // below the number of entries
			all = append(all, e)
		}
	}
	return all
}

// Probes returns the lenders that are passed over and may be asked again now.
func (d *Directory) Probes(now time.Time) []shard.Entry {
	var due []shard.Entry
	for _, e := range d.ranked {
		if s := d.silent[e.Name]; s != nil && s.passed && now.Sub(s.probedAt) >= probePause {
			s.probedAt = now
			due = append(due, e)
		}
	}
	return due
}

// Missing records that a lender did not answer a report in time. It reports whether the
// lender is passed over from now on.
func (d *Directory) Missing(now time.Time, lender string) bool {
	s := d.silent[lender]
	if s == nil {
		s = &silence{since: now}
		d.silent[lender] = s
	}
	s.missing++
	if s.passed || s.missing < silentAnswers || now.Sub(s.since) < silentTime || lender == d.self {
		return false
	}
	s.passed, s.probedAt = true, now
	return true
}

// Answered records that a lender answered. It reports whether it was passed over.
func (d *Directory) Answered(lender string) bool {
	s := d.silent[lender]
	delete(d.silent, lender)
	return s != nil && s.passed
}

// ReportInterval is the pause between two reports to a lender. In large fleets it is
// longer, which bounds the messages that a lender receives.
func ReportInterval(entries int) time.Duration {
	return min(max(reportInterval, reportInterval*time.Duration(entries)/entriesAtBase), maxReportInterval)
}

const (
	reportInterval    = 250 * time.Millisecond
	maxReportInterval = time.Second
	// entriesAtBase is the number of entries up to which reports are sent at the shortest
	// interval.
	entriesAtBase = 64
)

// lapseTime is how long after its last report an entry is a live member of its lender.
// isolationTime is how long an entry waits for a lender's answer before it admits from
// its own part of the budget; its lender has set that part aside by then.
func lapseTime(entries int) time.Duration     { return lapseIntervals * ReportInterval(entries) }
func isolationTime(entries int) time.Duration { return isolationIntervals * ReportInterval(entries) }

const (
	lapseIntervals     = 3
	isolationIntervals = 5
)
