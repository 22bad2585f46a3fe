package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// errOtherAnswer means that a process answered a question with something else.
var errOtherAnswer = errors.New("the answer does not belong to the question")

// picker locks the router and keeps the sets of the catalog in force.
type picker struct {
	mu     sync.Mutex
	router *routing.Router
	table  *catalog.Table
	sets   map[string]*routing.Set
}

func newPicker(settings Settings, membership routing.Membership) *picker {
	return &picker{
		router: routing.New(routing.Options{
			Policy: settings.Policy, DataCentre: settings.DataCentre, Region: settings.Region,
			// Entries differ in their random candidates and agree on the rest.
			Seed: xxh3.HashString(settings.Name), Membership: membership,
		}),
		sets: map[string]*routing.Set{},
	}
}

func (p *picker) choose(now time.Time, table *catalog.Table, w *work, tries []routing.Tried) (routing.Decision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.router.Choose(now, w.route, w.policy, p.setOf(table, w), tries)
}

// setOf is called with the lock held.
func (p *picker) setOf(table *catalog.Table, w *work) *routing.Set {
	if p.table != table {
		p.table, p.sets = table, map[string]*routing.Set{}
	}
	if set, ok := p.sets[w.target()]; ok {
		return set
	}
	var servers []routing.Server
	for _, b := range w.servers(table) {
		servers = append(servers, routing.Server{Name: b.GetName(), DataCentre: b.GetDataCentre(), Region: b.GetRegion()})
	}
	set := routing.NewSet(w.target(), servers)
	p.sets[w.target()] = set
	return set
}

// with runs one of the router's lessons under the lock.
func (p *picker) with(lesson func(r *routing.Router)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lesson(p.router)
}

// decide chooses a backend server, asking agents first when the policy says so.
func (h *handing) decide(ctx context.Context) (routing.Decision, error) {
	h.work.route.Probes = nil
	d, err := h.entry.picker.choose(time.Now(), h.table, h.work, h.tries)
	if err != nil || len(d.Ask) == 0 {
		return d, err
	}
	h.work.route.Probes = h.entry.probe(ctx, h.table, h.work, d.Ask)
	return h.entry.picker.choose(time.Now(), h.table, h.work, h.tries)
}

// probe asks agents for their exact cost, all at once. Agents that do not
// answer in time are left out.
func (e *Entry) probe(ctx context.Context, table *catalog.Table, w *work, servers []string) []routing.Probe {
	ctx, cancel := context.WithTimeout(ctx, ms(e.settings.Timeouts.OfferMS))
	defer cancel()
	replies := make([]*jayv1.ProbeReply, len(servers))
	var wg sync.WaitGroup
	for i, server := range servers {
		declared, ok := table.BackendServer(server)
		if !ok {
			continue
		}
		wg.Go(func() { replies[i], _ = e.probeOne(ctx, declared.GetAgentAddress(), w, table.Generation()) })
	}
	wg.Wait()
	probes := []routing.Probe{}
	for i, reply := range replies {
		if reply == nil {
			continue
		}
		e.picker.with(func(r *routing.Router) { r.Learn(time.Now(), servers[i], reply.GetState()) })
		probes = append(probes, routing.Probe{Server: servers[i], CostMS: reply.GetCostMs(), CachedBytes: int(reply.GetCachedBytes())})
	}
	return probes
}

func (e *Entry) probeOne(ctx context.Context, address string, w *work, generation uint64) (*jayv1.ProbeReply, error) {
	stream, err := e.node.Open(ctx, address, keys.RoleAgent)
	if err != nil {
		return nil, err
	}
	defer stream.Abort()
	question := &jayv1.ProbeRequest{
		Pool: w.pool.GetName(), Chain: w.route.Chain, PromptBytes: uint32(w.route.PromptBytes), //nolint:gosec // bounded by the prompt limit
		Generation: generation,
	}
	answer, err := askOn(ctx, stream, &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Probe{Probe: question}})
	if err != nil {
		return nil, err
	}
	if answer.GetProbeReply() == nil {
		return nil, errOtherAnswer
	}
	return answer.GetProbeReply(), nil
}

// askOn sends one frame and waits for one, no longer than the context lasts.
func askOn(ctx context.Context, stream *transport.Stream, question *jayv1.ClientFrame) (*jayv1.ServerFrame, error) {
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	defer stop()
	if err := stream.Send(question); err != nil {
		return nil, err
	}
	answer := &jayv1.ServerFrame{}
	if err := stream.Receive(answer); err != nil {
		return nil, err
	}
	return answer, nil
}
