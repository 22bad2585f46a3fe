package gateway

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/quota"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/serverlimit"
)

// maxLimitNews bounds the limits in one datagram.
const maxLimitNews = 32

// permit is the admission of one send to a server that has named a limit.
type permit struct {
	account quota.Account
	// at is the time since boot at which it was given; zero: there is none.
	at time.Time
}

// limitAccount is the account of requests to an incarnation of a server.
func limitAccount(server string) quota.Account { return quota.Account(nameHash(server)) }

// serverLimitSource describes the limits that servers name, in thousandths of a request.
func serverLimitSource(g *Gateway) quotaSource {
	bounds := g.settings.ServerLimits
	bounds.Slack *= serverlimit.RequestUnits
	return quotaSource{
		kind: jayv1.QuotaKind_QUOTA_KIND_SERVERS, bounds: bounds, label: "server_limit", name: "server limits",
		capOf: g.state.limitOf,
		inUse: g.state.hasLimits,
		ready: func() bool { return true },
		news:  func() []*jayv1.ServerLimit { return g.state.limitNews(time.Now()) },
		learn: func(from string, news []*jayv1.ServerLimit) { g.state.learnLimits(time.Now(), from, news) },
	}
}

// takePermit asks for admission to the chosen server if that has named a limit. It returns
// false if the request must go elsewhere.
func (j *job) takePermit(server string) bool {
	g := j.gateway
	j.permit = permit{}
	account := limitAccount(server)
	limit := g.state.limitOf(account)
	if !limit.Limited() {
		return true
	}
	decision := g.limits.admit(j.ctx, quotaRequest{
		account: account, cap: limit, cost: serverlimit.RequestUnits, rank: j.route.Priority,
		caller: xxh3.HashString(g.settings.Node), patience: serverlimit.MinPause,
	})
	perSecond := limit.Rate / serverlimit.RequestUnits
	if !decision.admitted && !g.state.limitOf(account).Limited() {
		return true // The limit has ended meanwhile, and its lender admits nothing under it.
	}
	if decision.admitted {
		j.permit = permit{account: account, at: lease.BootClock()}
		g.metrics.Count("server_limit", "admitted", 1)
		klog.V(1).InfoS("Server's limit allows request", "request", j.head.ID, "server", server, "perSecond", perSecond, "decidedBy", decision.basis)
		return true
	}
	pause := serverlimit.PauseAfter(limit, decision.level, decision.retryAfter)
	g.state.pauseLimited(time.Now(), account, spread(pause, g.settings.Node))
	g.metrics.Count("server_limit", "declined", 1)
	klog.InfoS("Server not used: its limit is used up", "request", j.head.ID, "server", server, "perSecond", perSecond,
		"decidedBy", decision.basis, "level", decision.level/serverlimit.RequestUnits, "pauseMS", pause.Milliseconds())
	j.overLimit = append(j.overLimit, server)
	j.undoPlacement()
	return false
}

// undoPlacement tells the wait queue that a request it placed was not sent.
func (j *job) undoPlacement() {
	if !j.waited {
		return
	}
	s := j.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitQueue.PlacementUndone()
}

// returnPermit counts a send as unused that did not reach its server.
func (j *job) returnPermit() {
	if !j.permit.at.IsZero() {
		j.gateway.limits.giveBack(j.permit.at, j.permit.account, serverlimit.RequestUnits)
	}
}

// observeLimitLocked records what a response says of its server's limit.
func (s *state) observeLimitLocked(now, sentAt time.Time, server string, head *call.ResponseHead) {
	if !head.HasLimit && s.limits.Empty() {
		return
	}
	statement := serverlimit.Statement{Limited: head.HasLimit, PerSecond: head.Limit, SentAt: sentAt, ReceivedAt: now}
	logLimitChange(s.limits.Observe(limitAccount(server), statement), server, head.Limit, "answer")
}

func logLimitChange(change serverlimit.Change, server string, perSecond float64, source string) {
	switch change {
	case serverlimit.Named:
		klog.InfoS("Server names a limit", "server", server, "perSecond", perSecond, "source", source)
	case serverlimit.Ended:
		klog.InfoS("Server names no limit any more", "server", server, "source", source)
	case serverlimit.Unchanged:
	}
}

// limitOf returns the limit of the server with this account; no cap if it has none.
func (s *state) limitOf(account quota.Account) quota.Cap {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Cap(account)
}

func (s *state) hasLimits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.limits.Empty()
}

func (s *state) pauseLimited(now time.Time, account quota.Account, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Pause(account, now.Add(pause))
}

// pausedByLimit reports whether this entry may not use a server until its limit admits
// another request.
func (s *state) pausedByLimit(now time.Time, b *fleet.Backend) bool {
	return !s.limits.Empty() && s.limits.PauseLeft(now, limitAccount(b.ID)) > 0
}

// limitDelay returns how long it takes until a server of the service whose limit is used
// up may be used again; 0: there is none.
func (s *state) limitDelay(now time.Time, service *routetable.Service) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	shortest := time.Duration(0)
	if s.limits.Empty() {
		return shortest
	}
	for _, b := range s.list.OfService(service.Name) {
		if left := s.limits.PauseLeft(now, limitAccount(b.ID)); left > 0 && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
}

// anyLimitLocked reports whether a server of the service has a limit.
func (s *state) anyLimitLocked(service *routetable.Service) bool {
	return !s.limits.Empty() && slices.ContainsFunc(s.list.OfService(service.Name), func(b *fleet.Backend) bool {
		return s.limits.Limited(limitAccount(b.ID))
	})
}

// limitNews returns what the servers last said of their limits, for other entries.
func (s *state) limitNews(now time.Time) []*jayv1.ServerLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	var news []*jayv1.ServerLimit
	for _, r := range s.limits.Reports(now) {
		if len(news) == maxLimitNews {
			break
		}
		news = append(news, &jayv1.ServerLimit{
			Server: uint32(r.Server), MilliPerSecond: uint32(r.PerSecond * serverlimit.RequestUnits), Ended: !r.Limited,
			SentAgeMs: millis(r.SentAge), ReceivedAgeMs: millis(r.ReceivedAge),
		})
	}
	return news
}

// learnLimits records what another entry reports of servers' limits.
func (s *state) learnLimits(now time.Time, from string, news []*jayv1.ServerLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byHash := s.list.ByHash(nameHash)
	for _, n := range news {
		b := byHash[n.GetServer()]
		if b == nil {
			continue
		}
		report := serverlimit.Report{
			Server: quota.Account(n.GetServer()), Limited: !n.GetEnded(), PerSecond: float64(n.GetMilliPerSecond()) / serverlimit.RequestUnits,
			SentAge: time.Duration(n.GetSentAgeMs()) * time.Millisecond, ReceivedAge: time.Duration(n.GetReceivedAgeMs()) * time.Millisecond,
		}
		logLimitChange(s.limits.Learn(now, report), b.ID, report.PerSecond, from)
	}
}
