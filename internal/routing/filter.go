package routing

import (
	"slices"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Reasons to exclude a server, by their names in explanations.
const (
	filteredRefused    = "refused this request"
	filteredMembership = "not usable"
	filteredDraining   = "leaving"
	filteredNotReady   = "not ready"
	filteredVersion    = "version not loaded"
	filteredAdapter    = "adapter not loaded"
	filteredDataCentre = "data centre not allowed"
)

// filter excludes servers that may not serve a request.
type filter struct {
	membership Membership
}

// reason returns why the server may not serve the request; "" when it may.
func (f filter) reason(c *choice, index int32) string {
	server, b := &c.bound.set.servers[index], c.bound.backends[index]
	switch {
	case len(c.req.DataCentres) > 0 && !slices.Contains(c.req.DataCentres, server.DataCentre):
		return filteredDataCentre
	case refused(c.refusals, b.name):
		return filteredRefused
	case f.membership != nil && !f.membership.Usable(b.name):
		return filteredMembership
	case b.hasState() && c.now.Sub(b.signals.At) <= exclusionTimeout:
		return reported(&b.signals, c.req)
	}
	return ""
}

// reported returns why the server's last report excludes it; "" when it does
// not.
func reported(signals *Signals, req *Request) string {
	switch {
	case signals.Draining:
		return filteredDraining
	case !signals.Ready:
		return filteredNotReady
	case missing(signals.VersionDigests, req.VersionDigest):
		return filteredVersion
	case missing(signals.Adapters, req.Adapter):
		return filteredAdapter
	}
	return ""
}

func missing(loaded []string, wanted string) bool {
	return wanted != "" && !slices.Contains(loaded, wanted)
}

// refused reports whether the server refused the request for a reason other
// than cost.
func refused(refusals []RefusedOffer, server string) bool {
	for i := range refusals {
		if refusals[i].Server == server && refusals[i].Refusal != jayv1.Refusal_REFUSAL_COST {
			return true
		}
	}
	return false
}
