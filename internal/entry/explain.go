package entry

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/routing"
)

// maxExplanations is the number of recent requests whose decisions are kept.
const maxExplanations = 512

// explanations is a ring buffer of the latest routing decisions.
type explanations struct {
	mu   sync.Mutex
	ring [maxExplanations]*jayv1.Explanation
	next int
	byID map[string]*jayv1.Explanation
}

func newExplanations() *explanations {
	return &explanations{byID: map[string]*jayv1.Explanation{}}
}

func (x *explanations) begin(e *Entry, request *callerRequest, table *catalog.Table) {
	explanation := &jayv1.Explanation{
		RequestId: request.id, Entry: e.settings.Name, Workspace: request.workspace.GetName(), Pool: request.target(),
		Policy: e.settings.Policy, Generation: table.Generation(),
		ChainPoints: uint32(len(request.route.Chain)), PromptBytes: uint32(request.route.PromptBytes), //nolint:gosec // bounded by limits
		AtUnixMs: time.Now().UnixMilli(),
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if old := x.ring[x.next]; old != nil {
		delete(x.byID, old.GetRequestId())
	}
	x.ring[x.next] = explanation
	x.byID[request.id] = explanation
	x.next = (x.next + 1) % maxExplanations
}

// recordDecision stores the candidates of a decision, in place of those of an
// earlier attempt.
func (x *explanations) recordDecision(id string, d routing.Decision) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if explanation := x.byID[id]; explanation != nil {
		explanation.Candidates = d.Candidates
		explanation.Policy = d.Policy
	}
}

func (x *explanations) recordAttempt(a *attempt, refusal jayv1.Refusal) {
	result := "accepted"
	if refusal != jayv1.Refusal_REFUSAL_UNSPECIFIED {
		result = refusalName(refusal)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if explanation := x.byID[a.id]; explanation != nil {
		explanation.Attempts = append(explanation.Attempts, &jayv1.AttemptTerms{
			Attempt: a.number, BackendServer: a.server, Result: result,
			CostMs: a.reply.GetCostMs(), CachedBytes: a.reply.GetCachedBytes(),
		})
	}
}

func (x *explanations) recordOutcome(id string, r result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if explanation := x.byID[id]; explanation != nil {
		explanation.Outcome = OutcomeName(r.outcome)
	}
}

func (x *explanations) get(id string) (*jayv1.Explanation, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	explanation := x.byID[id]
	if explanation == nil {
		return nil, false
	}
	return proto.Clone(explanation).(*jayv1.Explanation), true
}

// recent returns copies of the latest explanations, newest first.
func (x *explanations) recent(n int) []*jayv1.Explanation {
	x.mu.Lock()
	defer x.mu.Unlock()
	var all []*jayv1.Explanation
	for i := 1; i <= maxExplanations && len(all) < n; i++ {
		if explanation := x.ring[(x.next-i+maxExplanations)%maxExplanations]; explanation != nil {
			all = append(all, proto.Clone(explanation).(*jayv1.Explanation))
		}
	}
	return all
}
