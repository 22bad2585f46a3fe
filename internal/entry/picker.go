package entry

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/membership"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/routing"
)

// picker selects backend servers. One lock guards the router and the membership
// that its choices depend on.
type picker struct {
	mu      sync.Mutex
	router  *routing.Router
	members *membership.Members
	table   *catalog.Table
	sets    map[string]*routing.Set
	// listed holds the latest row of the platform's list for each VM, because a
	// server may be declared after its VM was listed.
	listed map[string]platform.VM
}

func newPicker(settings Settings) *picker {
	p := &picker{members: membership.New(membership.DefaultSettings()), listed: map[string]platform.VM{}}
	p.router = routing.New(routing.Options{
		Policy: settings.Policy, DataCentre: settings.DataCentre, Region: settings.Region,
		// The seed only varies the random candidates between entries.
		Seed: xxh3.HashString(settings.Name), Membership: p.members,
		CrossDataCentreMSPerMB: settings.CrossDataCentreMSPerMB,
	})
	return p
}

// next chooses the backend server that the request is offered to next.
func (p *picker) next(now time.Time, table *catalog.Table, request *callerRequest, tried []routing.RefusedOffer) (routing.Decision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adopt(now, table)
	set, ok := p.sets[request.target()]
	if !ok {
		set = setOf(request.target(), request.servers(p.table))
		p.sets[request.target()] = set
	}
	return p.router.Choose(now, request.route, request.policy, set, tried)
}

// adopt applies the backend servers of a newer generation. An older one is
// ignored: a request may have read the holder just before a change.
func (p *picker) adopt(now time.Time, table *catalog.Table) {
	if p.table != nil && table.Generation() <= p.table.Generation() {
		return
	}
	p.table, p.sets = table, map[string]*routing.Set{}
	var servers []membership.Server
	for _, b := range table.BackendServers() {
		host, _, _ := net.SplitHostPort(b.GetAgentAddress())
		group := catalog.KindPool + "/" + b.GetPool()
		if b.GetService() != "" {
			group = catalog.KindService + "/" + b.GetService()
		}
		servers = append(servers, membership.Server{Name: b.GetName(), Group: group, Host: host, Draining: b.GetDraining()})
	}
	p.members.SetServers(now, servers)
	p.members.ReceiveVMs(now, platform.VMList{VMs: p.listedVMs()})
}

func (p *picker) listedVMs() []platform.VM {
	vms := make([]platform.VM, 0, len(p.listed))
	for _, vm := range p.listed {
		vms = append(vms, vm)
	}
	return vms
}

func setOf(target string, servers []*jayv1.BackendServer) *routing.Set {
	list := make([]routing.Server, 0, len(servers))
	for _, b := range servers {
		list = append(list, routing.Server{Name: b.GetName(), DataCentre: b.GetDataCentre(), Region: b.GetRegion()})
	}
	return routing.NewSet(target, list)
}

// replied records an agent's reply to an offer.
func (p *picker) replied(now time.Time, request *callerRequest, server string, reply *jayv1.OfferReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.receiveState(now, server, reply.GetState())
	if reply.GetAccepted() || reply.GetRefusal() == jayv1.Refusal_REFUSAL_COST {
		p.router.ObserveCache(now, server, request.route, int(reply.GetCachedBytes()), reply.GetState().GetIncarnation())
	}
	if reply.GetAccepted() {
		p.router.HandedOff(now, server, request.route, reply.GetCostMs())
	}
}

func (p *picker) receiveState(now time.Time, server string, state *jayv1.AgentState) {
	if state == nil {
		return
	}
	p.router.UpdateState(now, server, state)
	p.members.ReceiveAgentState(now, server, state)
}

// ended records the end of an attempt.
func (p *picker) ended(now time.Time, request *callerRequest, a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.reply.GetAccepted() {
		p.router.Finished(now, a.server, request.route, a.firstTokenMS())
	}
	p.receiveState(now, a.server, a.end.GetState())
	switch evidenceOf(a) {
	case workSucceeded:
		p.members.Succeeded(now, a.server)
	case workFailed:
		p.members.Failed(now, a.server)
	case serverDraining:
		p.members.RefusedDraining(now, a.server)
	}
}

// evidence is what an attempt's end indicates about the server's health.
type evidence int

const (
	noEvidence evidence = iota
	workSucceeded
	workFailed
	serverDraining
)

// evidenceOf returns the evidence of an ended attempt. Regular refusals and
// callers that disconnect are no evidence about the server's health.
func evidenceOf(a *attempt) evidence {
	refusal := refusalOf(a)
	switch {
	case refusal == jayv1.Refusal_REFUSAL_LEAVING:
		return serverDraining
	case a.endedByCaller():
		return noEvidence
	case a.reply != nil && !a.reply.GetAccepted(), a.end.GetOutcome() == jayv1.Outcome_OUTCOME_NOT_RUN:
		if refusal == jayv1.Refusal_REFUSAL_ENGINE_DOWN {
			return workFailed
		}
		return noEvidence
	case a.outcome() != jayv1.Outcome_OUTCOME_DONE, serverFault(a.status):
		return workFailed
	}
	return workSucceeded
}

// serverFault reports whether the HTTP status of a plain service indicates a
// failed server. 500 does not: one caller's input may cause it, and that must not
// eject the server for all callers.
func serverFault(status uint32) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// probed records an agent's reply to a probe. Its cached bytes are as exact as
// those of a reply to an offer.
func (p *picker) probed(now time.Time, request *callerRequest, server string, reply *jayv1.ProbeReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.receiveState(now, server, reply.GetState())
	p.router.ObserveCache(now, server, request.route, int(reply.GetCachedBytes()), reply.GetState().GetIncarnation())
}

// receiveVMs applies the platform's list of VMs, complete or changes only.
func (p *picker) receiveVMs(now time.Time, list platform.VMList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if list.Complete {
		clear(p.listed)
	}
	for _, vm := range list.VMs {
		p.listed[vm.Name] = vm
	}
	p.members.ReceiveVMs(now, list)
}

// liveEntries returns the number of live entries in the platform's list.
func (p *picker) liveEntries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, vm := range p.listed {
		if vm.Role == "entry" && vm.State == platform.VMLive {
			n++
		}
	}
	return n
}

func (p *picker) receive(now time.Time, updates []*jayv1.MemberNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.ReceivePeerUpdates(now, updates)
}

func (p *picker) digest(now time.Time) []*jayv1.MemberNews {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.PeerUpdates(now)
}

func (p *picker) refresh(now time.Time, table *catalog.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adopt(now, table)
	p.members.Tick(now)
}
