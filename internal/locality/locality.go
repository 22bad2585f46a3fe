// Package locality decides which requests leave the data centre where they arise,
// their home data centre, and what that costs.
//
// A request is charged for the network path and for the bytes that it moves, at the
// operator's price (Costs). Of a service's demand, only what the home data centre
// lacks in capacity is sent elsewhere, and only into capacity that the other data
// centres' own callers leave (Group). A prompt may also follow its cached prefix, until
// the path has cost as much as a copy at home would (Accounts).
//
// Each router decides alone, from its own demand and its own view of the servers. The
// package has no I/O, goroutines, clock or random source; callers provide the locking.
package locality

import "time"

// Reason says why a request left its home data centre.
type Reason uint8

// The reasons.
const (
	// ReasonNone: it did not leave.
	ReasonNone Reason = iota
	// ReasonCapacity: the home data centre lacks free capacity.
	ReasonCapacity
	// ReasonPrefix: another data centre holds the prompt's prefix.
	ReasonPrefix
	// ReasonLost: no server of the home data centre can be used.
	ReasonLost
)

var reasonNames = [...]string{"", "capacity", "prefix", "lost"}

// String returns the reason's name in logs and metrics; empty for ReasonNone.
func (r Reason) String() string { return reasonNames[r] }

const (
	// maxGroups bounds the pairs of service and home data centre whose demand is kept.
	maxGroups = 1024
	// groupLifetime is how long a group without requests is kept once there are maxGroups.
	groupLifetime = time.Minute
)

// groupKey identifies the demand of one data centre's callers for one service.
type groupKey struct{ service, home string }

// Policy is the state of one router's decisions.
type Policy struct {
	*Costs
	accounts *accounts
	groups   map[groupKey]*Group
	deciders int
}

// NewPolicy returns a policy without observed demand. Several policies may share costs.
func NewPolicy(costs *Costs) *Policy {
	return &Policy{Costs: costs, accounts: newAccounts(), groups: map[groupKey]*Group{}, deciders: 1}
}

// SetDeciders sets the number of routers among which the demand of this one's data
// centre is divided evenly, this one included.
func (p *Policy) SetDeciders(n int) { p.deciders = max(1, n) }

// Group returns the demand of a data centre's callers for a service.
func (p *Policy) Group(now time.Time, service, home string) *Group {
	key := groupKey{service, home}
	g := p.groups[key]
	if g == nil {
		if len(p.groups) >= maxGroups {
			p.removeIdle(now)
		}
		g = &Group{home: home, policy: p}
		p.groups[key] = g
	}
	g.usedAt = now
	return g
}

// removeIdle drops groups without recent requests, and all if that is not enough: an
// overload of names must not take memory without bound.
func (p *Policy) removeIdle(now time.Time) {
	for key, g := range p.groups {
		if now.Sub(g.usedAt) > groupLifetime {
			delete(p.groups, key)
		}
	}
	if len(p.groups) >= maxGroups {
		clear(p.groups)
	}
}

// PaidMS returns what requests with the prefix have recently been charged for leaving
// the home data centre.
func (p *Policy) PaidMS(now time.Time, prefix uint32, home string) float64 {
	return p.accounts.paid(now, accountKey{prefix, home})
}

// PayMS records the charge of a request that left its home data centre for its prefix.
func (p *Policy) PayMS(now time.Time, prefix uint32, home string, ms float64) {
	p.accounts.add(now, accountKey{prefix, home}, ms)
}
