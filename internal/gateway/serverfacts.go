package gateway

import (
	"strconv"
	"time"

	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/sharedfact"
)

// Facts about servers that entries learn from their own sends and report to each other: an
// incarnation has ended, is not listening, refuses while it loads weights, or has other
// weights than expected.

// reportWeights reports to the other entries that a server refused a request because of
// its weights. A refusal of a server that already has the newest weights has another
// cause, such as its load, which is no reason for others to avoid it.
func (s *state) reportWeights(now time.Time, kind sharedfact.Kind, server, model string, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportWeightsLocked(now, kind, server, model, version)
}

func (s *state) reportWeightsLocked(now time.Time, kind sharedfact.Kind, server, model string, version uint64) {
	if model == "" || version == 0 || s.list.Get(server) == nil || s.targets.Newest(model) < version {
		return
	}
	s.facts.Learned(now, sharedfact.Fact{Kind: kind, Server: server, Model: model, Version: version})
}

// encodeFacts returns the message with these facts; nil if there are none.
func encodeFacts(facts []sharedfact.Fact) *jayv1.ServerFacts {
	if len(facts) == 0 {
		return nil
	}
	message := &jayv1.ServerFacts{}
	for _, f := range facts {
		server, model := nameHash(f.Server), nameHash(f.Model)
		switch f.Kind {
		case sharedfact.Ended:
			message.Ended = append(message.Ended, server)
		case sharedfact.NotListening:
			message.NotListening = append(message.NotListening, server)
		case sharedfact.Loading:
			message.Loading, message.LoadingModel = append(message.Loading, server), append(message.LoadingModel, model)
			message.LoadingVersion = append(message.LoadingVersion, f.Version)
		case sharedfact.Serving:
			message.Serving, message.ServingModel = append(message.Serving, server), append(message.ServingModel, model)
			message.ServingVersion = append(message.ServingVersion, f.Version)
		}
	}
	return message
}

func factCount(m *jayv1.ServerFacts) int {
	return len(m.GetEnded()) + len(m.GetNotListening()) + len(m.GetLoading()) + len(m.GetServing())
}

// factsWellFormed reports whether lists that belong together have equal lengths and the
// message holds no more facts than entries send.
func factsWellFormed(m *jayv1.ServerFacts) bool {
	loading, serving := len(m.GetLoading()), len(m.GetServing())
	return factCount(m) <= sharedfact.MaxFacts &&
		len(m.GetLoadingModel()) == loading && len(m.GetLoadingVersion()) == loading &&
		len(m.GetServingModel()) == serving && len(m.GetServingVersion()) == serving
}

// decodeFactsLocked returns the facts on servers and models that are known here, and the
// number of the others.
func (s *state) decodeFactsLocked(m *jayv1.ServerFacts) (facts []sharedfact.Fact, unknown int) {
	servers, models := s.list.ByHash(nameHash), map[uint32]string{}
	for _, model := range s.targets.Models() {
		models[nameHash(model)] = model
	}
	add := func(kind sharedfact.Kind, server uint32, model string, version uint64) {
		b := servers[server]
		if b == nil || model == "" && kind >= sharedfact.Loading {
			unknown++
			return
		}
		facts = append(facts, sharedfact.Fact{Kind: kind, Server: b.ID, Model: model, Version: version})
	}
	for _, server := range m.GetEnded() {
		add(sharedfact.Ended, server, "", 0)
	}
	for _, server := range m.GetNotListening() {
		add(sharedfact.NotListening, server, "", 0)
	}
	for i, server := range m.GetLoading() {
		add(sharedfact.Loading, server, models[m.GetLoadingModel()[i]], m.GetLoadingVersion()[i])
	}
	for i, server := range m.GetServing() {
		add(sharedfact.Serving, server, models[m.GetServingModel()[i]], m.GetServingVersion()[i])
	}
	return facts, unknown
}

// Effects of received facts, the labels of the counter "server_facts" after the kind.
const (
	factApplied = "applied"
	// factKnown: this entry knew it already, or has later information.
	factKnown = "ignored: known"
	// factLimited: too many servers of the service are excluded or paused already, or a
	// request of this entry has just succeeded there.
	factLimited = "ignored: limit or recent success"
	// factUnlisted: this entry does not list the incarnation, or does not know the model.
	factUnlisted  = "ignored: not listed"
	factMalformed = "ignored: malformed"
	// factUnnamed: this entry does not know that the version was named.
	factUnnamed = "ignored: version not named"
)

// receiveFactsLocked applies facts that another entry reported, and returns the number of
// facts by kind and effect.
func (s *state) receiveFactsLocked(now time.Time, m *jayv1.ServerFacts, from uint32) map[string]int {
	if m == nil {
		return nil
	}
	counts := map[string]int{}
	if !factsWellFormed(m) {
		counts[factMalformed]++
		return counts
	}
	facts, unknown := s.decodeFactsLocked(m)
	if unknown > 0 {
		counts[factUnlisted] = unknown
	}
	for _, f := range facts {
		effect := factKnown
		if s.facts.Received(now, f) {
			effect = s.applyFactLocked(now, f)
		}
		counts[f.Kind.String()+" "+effect]++
		klog.V(factLevel(effect)).InfoS("Fact on a server received", "kind", f.Kind.String(), "server", f.Server, "version", f.Version,
			"effect", effect, "entry", strconv.FormatUint(uint64(from), 36))
	}
	return counts
}

// factLevel is the log level of a received fact: most of those that are ignored come from
// entries that learned it at the same time.
func factLevel(effect string) klog.Level {
	if effect == factApplied {
		return 0
	}
	return 1
}

// applyFactLocked records a fact that another entry reported, and returns its effect.
func (s *state) applyFactLocked(now time.Time, f sharedfact.Fact) string {
	switch f.Kind {
	case sharedfact.Ended:
		return s.applyEndedLocked(now, f.Server)
	case sharedfact.NotListening:
		return s.applyNotListeningLocked(now, f.Server)
	case sharedfact.Loading:
		return s.applyLoadingLocked(now, f)
	case sharedfact.Serving:
		// The version of an incarnation never falls here, so a version that nobody named
		// would keep requests from the server until it ends.
		if s.targets.Newest(f.Model) < f.Version {
			return factUnnamed
		}
		if s.versions[versionKey{f.Server, f.Model}] >= f.Version {
			return factKnown
		}
		s.observeVersionLocked(f.Server, f.Model, f.Version, "hint")
	}
	return factApplied
}

func (s *state) applyNotListeningLocked(now time.Time, server string) string {
	if !s.members.Usable(server) {
		return factKnown
	}
	if !s.members.NotListeningElsewhere(now, server) {
		return factLimited
	}
	if b := s.list.Get(server); !b.Draining {
		s.suspects.serverCrashed(now, server)
	}
	return factApplied
}

func (s *state) applyEndedLocked(now time.Time, server string) string {
	if s.list.Ended(now, server) {
		return factKnown
	}
	if !s.list.MarkEndedElsewhere(now, server) {
		return factLimited
	}
	s.dropEndedLocked(now, server, "hint")
	s.closeIdle(s.list.Get(server).Address)
	return factApplied
}

// maxLoadingShare is the share of a service's servers that may be paused before reports of
// refusals have no effect: while weights change, an overloaded server may refuse for its load,
// and reports on all of them would concentrate the requests on the last ones.
const maxLoadingShare = 0.5

// applyLoadingLocked pauses a server as this entry's own refusal would, unless it is known
// to have the version already, or a longer pause was announced.
func (s *state) applyLoadingLocked(now time.Time, f sharedfact.Fact) string {
	until := now.Add(loadPause)
	if s.versions[versionKey{f.Server, f.Model}] >= f.Version || s.switches[f.Server].until.After(until) {
		return factKnown
	}
	service, paused := s.serviceOf(f.Server), 0
	for server := range s.switches {
		if server != f.Server && s.serviceOf(server) == service {
			paused++
		}
	}
	if float64(paused+1) > maxLoadingShare*float64(len(s.list.OfService(service))) {
		return factLimited
	}
	s.excludeLocked(f.Server, weightSwitch{version: f.Version, until: until, refuses: true})
	return factApplied
}

// countFacts adds to the counter of facts by label: kind and effect, or "sent".
func (g *Gateway) countFacts(counts map[string]int) {
	for label, n := range counts {
		if n > 0 {
			g.metrics.Count("server_facts", label, int64(n))
		}
	}
}
