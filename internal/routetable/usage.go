package routetable

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/quota"
)

// Usage is the usage cap of a workspace over the whole fleet, and how requests count.
type Usage struct {
	Cap quota.Cap
	// CountsTokens: a request counts by its tokens, otherwise as one.
	CountsTokens bool
	// DefaultTokens is how many tokens a request counts as that states none.
	DefaultTokens float64
}

// Cost returns what a request counts as.
func (u *Usage) Cost(head *call.Head) float64 {
	switch {
	case !u.CountsTokens:
		return 1
	case !head.HasTokens:
		return u.DefaultTokens
	}
	return float64(head.InputTokens) + float64(head.OutputTokens)
}

// assignAccounts numbers the workspaces by hashes of their names. All processes with the
// same table assign the same numbers.
func (t *Table) assignAccounts() {
	byName := make([]*Workspace, len(t.Workspaces))
	for i := range t.Workspaces {
		byName[i] = &t.Workspaces[i]
	}
	slices.SortFunc(byName, func(a, b *Workspace) int { return cmp.Compare(a.Name, b.Name) })
	for _, w := range byName {
		w.Account = quota.Account(xxh3.HashString(w.Name)) //nolint:gosec // the low half of a hash
		for t.byAccount[w.Account] != nil {
			w.Account++
		}
		t.byAccount[w.Account] = w
	}
}

// HasUsageCaps reports whether any workspace has a usage cap.
func (t *Table) HasUsageCaps() bool {
	return slices.ContainsFunc(t.Workspaces, func(w Workspace) bool { return w.Usage.Cap.Limited() })
}

// CapOf returns the usage cap of an account; no cap if it is unknown.
func (t *Table) CapOf(account quota.Account) quota.Cap {
	if w := t.byAccount[account]; w != nil {
		return w.Usage.Cap
	}
	return quota.Cap{}
}
