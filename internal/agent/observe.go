package agent

import (
	"strings"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
)

// Names of the agent's metrics. Each is recorded per workspace and per class.
const (
	metricQueueWait   = "queue_wait"
	metricFirstToken  = "agent_first_token"
	metricCachedShare = "cached_share_permille"
	metricRecomputed  = "recomputed_tokens"
	metricImported    = "kv_imports"
	// metricLookupTimeout counts lookups in the KV cache store that found nothing in time.
	metricLookupTimeout = "kv_lookup_timeouts"
	metricRefusals      = "refusals_"
	metricOutcomes      = "outcomes_"
)

const permille = 1000

// forEachLabel calls f with the workspace label and with the class label of a
// request.
func forEachLabel(offer *jayv1.Offer, f func(label string)) {
	f(offer.GetWorkspace())
	f(className(offer.GetClass()))
}

func className(class jayv1.Class) string {
	return "class:" + catalog.ClassName(class)
}

func refusalName(refusal jayv1.Refusal) string {
	return strings.ToLower(strings.TrimPrefix(refusal.String(), "REFUSAL_"))
}

func (a *Agent) observeReply(offer *jayv1.Offer, reply *jayv1.OfferReply) {
	if !reply.GetAccepted() {
		forEachLabel(offer, func(label string) { a.metrics.Count(metricRefusals+refusalName(reply.GetRefusal()), label, 1) })
	}
}

func (a *Agent) observeFirstToken(att *attempt) {
	att.mu.Lock()
	wait := att.queueWait
	att.mu.Unlock()
	forEachLabel(att.offer, func(label string) {
		a.metrics.Time(metricFirstToken, label, time.Since(att.offered))
		a.metrics.Time(metricQueueWait, label, wait)
	})
}

func (a *Agent) observeEnd(att *attempt, end *jayv1.End) {
	outcome := strings.ToLower(strings.TrimPrefix(end.GetOutcome().String(), "OUTCOME_"))
	forEachLabel(att.offer, func(label string) {
		a.metrics.Count(metricOutcomes+outcome, label, 1)
		if end.GetRefusal() != 0 {
			a.metrics.Count(metricRefusals+refusalName(end.GetRefusal()), label, 1)
		}
		if usage := end.GetUsage(); usage.GetPromptTokens() > 0 {
			share := int64(usage.GetCachedTokens()) * permille / int64(usage.GetPromptTokens())
			a.metrics.Value(metricCachedShare, label, share)
			a.metrics.Count(metricRecomputed, label, int64(usage.GetRecomputedTokens()))
		}
	})
}
