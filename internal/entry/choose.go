package entry

import (
	"errors"
	"sync"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/routing"
)

var errNoServer = errors.New("no backend server may serve the request")

// tried is an offer that was refused.
type tried struct {
	Server      string
	Refusal     jayv1.Refusal
	CostMS      float64
	CachedBytes int
}

// decision says where the next offer goes.
type decision struct {
	Server      string
	ExpectedMS  float64
	NextBestMS  float64
	Incarnation uint64
	Final       bool
	Candidates  []*jayv1.CandidateTerms
	Policy      string
}

// chooser decides where a request is offered to. Not safe for concurrent use.
type chooser interface {
	Choose(now time.Time, req *routing.Request, pool *routing.PoolPolicy, set *serverSet, tries []tried) (decision, error)
	Learn(now time.Time, server string, state *jayv1.AgentState)
}

// serverSet is the backend servers of a pool or service.
type serverSet struct {
	name    string
	servers []routing.Server
}

// picker locks a chooser and keeps the sets of the catalog in force.
type picker struct {
	mu     sync.Mutex
	choose chooser
	table  *catalog.Table
	sets   map[string]*serverSet
}

func (p *picker) next(now time.Time, table *catalog.Table, w *work, tries []tried) (decision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table != table {
		p.table, p.sets = table, map[string]*serverSet{}
	}
	set, ok := p.sets[w.target()]
	if !ok {
		set = &serverSet{name: w.target()}
		for _, b := range w.servers(table) {
			set.servers = append(set.servers, routing.Server{Name: b.GetName(), DataCentre: b.GetDataCentre(), Region: b.GetRegion()})
		}
		p.sets[w.target()] = set
	}
	return p.choose.Choose(now, w.route, w.policy, set, tries)
}

func (p *picker) learn(now time.Time, server string, state *jayv1.AgentState) {
	if state == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.choose.Learn(now, server, state)
}

// roundRobin takes the servers in turn.
type roundRobin struct{ turn int }

func (r *roundRobin) Choose(_ time.Time, _ *routing.Request, _ *routing.PoolPolicy, set *serverSet, tries []tried) (decision, error) {
	for range set.servers {
		r.turn++
		server := set.servers[r.turn%len(set.servers)]
		if !wasTried(tries, server.Name) {
			return decision{Server: server.Name, Policy: "round-robin"}, nil
		}
	}
	return decision{}, errNoServer
}

func (r *roundRobin) Learn(time.Time, string, *jayv1.AgentState) {}

func wasTried(tries []tried, server string) bool {
	for _, t := range tries {
		if t.Server == server {
			return true
		}
	}
	return false
}
