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

// picker locks the routing decisions and the membership they rest on.
type picker struct {
	mu      sync.Mutex
	router  *routing.Router
	members *membership.Members
	table   *catalog.Table
	sets    map[string]*routing.Set
	// listed is what the platform's list last said of each VM: a server that is
	// declared after its VM was listed must not be missed.
	listed map[string]platform.VM
}

func newPicker(settings Settings) *picker {
	p := &picker{members: membership.New(membership.DefaultSettings()), listed: map[string]platform.VM{}}
	p.router = routing.New(routing.Options{
		Policy: settings.Policy, DataCentre: settings.DataCentre, Region: settings.Region,
		// Entries differ in their random candidates and agree on the rest.
		Seed: xxh3.HashString(settings.Name), Membership: p.members,
	})
	return p
}

// next chooses where the work is offered.
func (p *picker) next(now time.Time, table *catalog.Table, w *work, tries []routing.Tried) (routing.Decision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adopt(now, table)
	set, ok := p.sets[w.target()]
	if !ok {
		set = setOf(w.target(), w.servers(p.table))
		p.sets[w.target()] = set
	}
	return p.router.Choose(now, w.route, w.policy, set, tries)
}

// adopt takes a newer generation's backend servers. A request that read the
// holder just before a change must not bring the old ones back.
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
	p.members.ReceiveVMs(now, platform.VMList{VMs: p.vmsKnown()})
}

func (p *picker) vmsKnown() []platform.VM {
	known := make([]platform.VM, 0, len(p.listed))
	for _, vm := range p.listed {
		known = append(known, vm)
	}
	return known
}

func setOf(target string, servers []*jayv1.BackendServer) *routing.Set {
	list := make([]routing.Server, 0, len(servers))
	for _, b := range servers {
		list = append(list, routing.Server{Name: b.GetName(), DataCentre: b.GetDataCentre(), Region: b.GetRegion()})
	}
	return routing.NewSet(target, list)
}

// replied takes in an agent's answer to an offer.
func (p *picker) replied(now time.Time, w *work, server string, reply *jayv1.OfferReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard(now, server, reply.GetState())
	if reply.GetAccepted() || reply.GetRefusal() == jayv1.Refusal_REFUSAL_COST {
		p.router.Saw(now, server, w.route, int(reply.GetCachedBytes()), reply.GetState().GetIncarnation())
	}
	if reply.GetAccepted() {
		p.router.HandedOver(now, server, w.route, reply.GetCostMs())
	}
}

func (p *picker) heard(now time.Time, server string, state *jayv1.AgentState) {
	if state == nil {
		return
	}
	p.router.Learn(now, server, state)
	p.members.ReceiveAgentState(now, server, state)
}

// ended takes in how an attempt ended.
func (p *picker) ended(now time.Time, w *work, a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.reply.GetAccepted() {
		p.router.Finished(now, a.server, w.route, a.firstTokenMS())
	}
	p.heard(now, a.server, a.end.GetState())
	switch evidenceOf(a) {
	case workSucceeded:
		p.members.Succeeded(now, a.server)
	case workFailed:
		p.members.Failed(now, a.server)
	case serverLeaves:
		p.members.RefusedDraining(now, a.server)
	}
}

// evidence is what an attempt shows of the server's health.
type evidence int

const (
	noEvidence evidence = iota
	workSucceeded
	workFailed
	serverLeaves
)

// evidenceOf judges the server, not the request: refusals that are in order
// and callers that go away say nothing of its health.
func evidenceOf(a *attempt) evidence {
	refusal := refusalOf(a)
	switch {
	case refusal == jayv1.Refusal_REFUSAL_LEAVING:
		return serverLeaves
	case a.byCaller():
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

// serverFault tells whether a plain service's status speaks of the server. 500
// does not: one caller's input may cause it and must not take the service from
// the others.
func serverFault(status uint32) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// probed takes in an agent's answer to a probe: what it says of the prompt is
// as exact as an answer to an offer.
func (p *picker) probed(now time.Time, w *work, server string, reply *jayv1.ProbeReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard(now, server, reply.GetState())
	p.router.Saw(now, server, w.route, int(reply.GetCachedBytes()), reply.GetState().GetIncarnation())
}

// vms takes an answer of the platform's list.
func (p *picker) vms(now time.Time, list platform.VMList) {
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

// entries is the number of live entries in the platform's list.
func (p *picker) entries() int {
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

func (p *picker) news(now time.Time, news []*jayv1.MemberNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.ReceivePeerUpdates(now, news)
}

func (p *picker) tell(now time.Time) []*jayv1.MemberNews {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.PeerUpdates(now)
}

func (p *picker) tick(now time.Time, table *catalog.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adopt(now, table)
	p.members.Tick(now)
}
