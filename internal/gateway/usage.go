package gateway

import (
	"net/http"
	"time"

	"github.com/zeebo/xxh3"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/quota"
)

// admittedUsage is what a request counts as under its workspace's usage cap.
type admittedUsage struct {
	// cost is 0 if there is no cap.
	cost float64
	// at is the time since boot at which the request was admitted.
	at time.Time
}

// usageSource describes the usage caps of workspaces.
func usageSource(g *Gateway) quotaSource {
	return quotaSource{
		bounds: g.settings.Usage, label: "quota", name: "usage caps",
		capOf: func(account quota.Account) quota.Cap {
			if table := g.state.table.Load(); table != nil {
				return table.CapOf(account)
			}
			return quota.Cap{}
		},
		inUse: func() bool {
			table := g.state.table.Load()
			return table != nil && table.HasUsageCaps()
		},
		ready: func() bool { return g.state.table.Load() != nil },
	}
}

const (
	// patienceShare is the part of the time left that callers wait at most before they
	// retry.
	patienceShare = 1.0 / 3
	// onTimeShare is the part of a route's latency target by which a caller must return
	// to be served on time.
	onTimeShare = 0.5
)

// admitUsage checks the workspace's usage cap. It returns false if it has rejected the
// request, before its body was read.
func (j *job) admitUsage() bool {
	if j.workspace == nil || !j.workspace.Usage.Cap.Limited() {
		return true
	}
	cost := j.workspace.Usage.Cost(&j.head)
	if cost <= 0 {
		return true
	}
	g := j.gateway
	decision := g.usage.admit(j.inbound.Context(), quotaRequest{
		account: j.workspace.Account, cap: j.workspace.Usage.Cap, cost: cost,
		rank: j.route.Priority, caller: j.callerHash(), patience: j.returnPatience(),
	})
	if decision.admitted {
		j.usage = admittedUsage{cost: cost, at: lease.BootClock()}
		return true
	}
	known := g.usage.state(j.workspace.Account)
	g.metrics.Count("quota_refused", j.workspace.Name, 1)
	klog.InfoS("Request rejected: usage cap", "request", j.head.ID, "workspace", j.workspace.Name, "cost", cost,
		"capPerSecond", j.workspace.Usage.Cap.Rate, "burst", j.workspace.Usage.Cap.Burst, "decidedBy", decision.basis,
		"usedHere", int(known.Used), "usedByAll", int(known.Total), "level", int(known.Level), "ageMS", known.Age.Milliseconds(), "comeBackMS", decision.retryAfter.Milliseconds())
	j.outcome = "usage cap of the workspace"
	g.ports.Dialect.Refuse(j.writer.Header(), j.head.ID, decision.retryAfter)
	j.respondEmpty(http.StatusTooManyRequests)
	return false
}

// returnPatience is how long the caller can be told to wait and still be served on time.
func (j *job) returnPatience() time.Duration {
	left := time.Duration(float64(time.Until(j.deadline)) * patienceShare)
	if j.route.LatencyTarget <= 0 {
		return left
	}
	return min(left, time.Duration(float64(j.route.LatencyTarget)*onTimeShare))
}

// callerHash identifies the request over its caller's attempts without reading its body.
func (j *job) callerHash() uint64 {
	h := xxh3.New()
	for _, text := range []string{j.workspace.Name, j.inbound.Method, requestTarget(j.inbound)} {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	for _, part := range j.head.Parts {
		_, _ = h.WriteString(part.ID)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// settleUsage gives back what a request was admitted for that is proven not to have run.
func (j *job) settleUsage() {
	if j.usage.cost > 0 && j.sends == j.unrunSends {
		j.gateway.usage.giveBack(j.usage.at, j.workspace.Account, j.usage.cost)
	}
}

// chargeRepeat counts another run of a request that may have run already.
func (j *job) chargeRepeat() {
	if j.usage.cost > 0 {
		j.gateway.usage.charge(j.workspace.Account, j.usage.cost)
	}
}
