package gateway

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/quarantine"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/routing"
)

// identity returns what identifies the request across its caller's attempts.
func (j *job) identity() quarantine.Identity {
	identity := quarantine.Identity{
		Host: j.inbound.Host, Method: j.outbound.Method, Target: j.outbound.Target, Body: j.outbound.Body,
	}
	if j.workspace != nil {
		identity.Caller = j.workspace.Name
	}
	return identity
}

func (j *job) fingerprint() quarantine.Fingerprint { return j.hashes.Fingerprint() }

// fingerprintOf returns the fingerprint for the log of a send that may have
// run; empty for others.
func (j *job) fingerprintOf(outcome sendOutcome) string {
	if outcome == notSent {
		return ""
	}
	return j.fingerprint().String()
}

// sharedPartIDs returns the IDs of the prompt's shared parts, for the log.
func (j *job) sharedPartIDs() []string {
	var ids []string
	for _, part := range j.head.Shared() {
		ids = append(ids, part.ID)
	}
	return ids
}

// isSuspect reports whether crashes or interrupted runs of the request may be
// recorded.
func (j *job) isSuspect() bool {
	return j.gateway.state.suspects.mayBeSuspect(&j.hashes)
}

// hold is why a request must not be sent: a quarantined subject, and when the caller may
// retry.
type hold struct {
	subject    quarantine.Fingerprint
	part       string
	retryAfter time.Duration
}

// checkQuarantine reports whether the request must not be sent; nil: it may. It first
// claims a trial that is due. A request with several quarantined subjects is no trial,
// since it would not show which of them causes crashes.
func (j *job) checkQuarantine() *hold {
	if j.trial.number > 0 {
		return nil
	}
	s := j.gateway.state.suspects
	now := time.Now()
	var found *hold
	due := trial{}
	count := 0
	for _, f := range j.suspectSubjects() {
		verdict := s.verdict(now, f)
		if !verdict.Quarantined {
			continue
		}
		count++
		due = trial{subject: f, number: verdict.Trial}
		if found == nil || verdict.RetryAfter > found.retryAfter {
			found = &hold{subject: f, part: j.partIDOf(f), retryAfter: verdict.RetryAfter}
		}
	}
	if count == 1 && due.number > 0 && j.gateway.claimTrial(j.ctx, due.subject, due.number) {
		j.trial = due
		return nil
	}
	return found
}

// trial is a run of a quarantined subject that one entry has claimed; zero: none.
type trial struct {
	subject quarantine.Fingerprint
	number  int
}

// partIDOf returns the ID of the shared part with this fingerprint; empty for others.
func (j *job) partIDOf(f quarantine.Fingerprint) string {
	if i := slices.Index(j.partFingerprints(), f); i >= 0 {
		return j.head.Parts[i].ID
	}
	return ""
}

// respondQuarantined ends a quarantined request.
func (j *job) respondQuarantined(h *hold) {
	j.gateway.metrics.Count("held_back", j.routeLabel(), 1)
	klog.InfoS("Quarantined request refused", "request", j.head.ID, "fingerprint", h.subject.String(), "part", h.part, "retryAfterMS", h.retryAfter.Milliseconds(), "ranOn", j.indeterminateSends)
	reason := "quarantined: servers crashed while running it"
	if h.part != "" {
		reason = "quarantined: servers crashed while running prompts with part " + h.part
		j.gateway.state.suspects.rememberPartIDs(j.trackedParts(), j.partFingerprints())
	}
	if j.indeterminateSends > 0 {
		j.giveUp(reason)
		return
	}
	j.respondUnavailable(reason, h.retryAfter)
}

// computeSuspectKey returns the key that keeps a suspect request apart from other
// suspects; 0 for other requests. The key changes with each crash, so that two
// suspects that met at a server are separated. By their prefix they would all
// go to the same preferred server, and a crash could not be attributed to one
// of them.
func (j *job) computeSuspectKey() uint64 {
	crashes := len(j.interruptedEarly)
	if j.isSuspect() {
		crashes += j.gateway.state.suspects.crashCount(j.fingerprint())
	}
	if crashes == 0 {
		return 0
	}
	f := j.fingerprint()
	return routing.Rendezvous(binary.BigEndian.Uint64(f[len(f)-8:]), uint64(crashes)) | 1 //nolint:gosec // positive
}

// crashesAllowRepeat reports whether an interrupted run may be repeated, as far
// as possible crashes of its servers are concerned.
func (j *job) crashesAllowRepeat() bool {
	if j.trial.number > 0 {
		return false
	}
	if len(j.interruptedEarly) == 0 {
		return true
	}
	return !slices.ContainsFunc(j.subjects(), func(f quarantine.Fingerprint) bool {
		return !j.gateway.state.suspects.mayRepeat(f, j.interruptedEarly)
	})
}

// recordEarlyInterruption records a run that ended with its connection, if that was before
// or soon after its first event. With probe, the server is asked whether it still runs.
func (j *job) recordEarlyInterruption(choice *routing.DirectChoice, probe bool) {
	now := time.Now()
	if !quarantine.JustBegun(now, j.firstEventAt) {
		return
	}
	g, server := j.gateway, choice.Server
	if g.state.isDraining(server.ID) {
		return
	}
	j.interruptedEarly = append(j.interruptedEarly, server.ID)
	g.state.suspects.rememberPartIDs(j.trackedParts(), j.partFingerprints())
	g.state.suspects.runInterrupted(now, server.ID, j.subjects()...)
	if probe && g.state.suspects.beginProbe(server.ID) {
		service := j.service
		g.spawn(func() { g.probeServer(server, service) })
	}
}

// isDraining reports whether a server is listed as draining, so that its end is
// planned.
func (s *state) isDraining(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.list.Get(server)
	return b != nil && b.Draining
}

// probeServer finds out whether the incarnation that a run was interrupted at still runs.
// If that were left to the next request sent there, the caller's next attempt could be sent
// before the crash is known.
func (g *Gateway) probeServer(server routing.DirectServer, service *routetable.Service) {
	err := g.stillRuns(context.Background(), server, service)
	g.state.suspects.endProbe(time.Now(), server.ID, err == nil)
}

// settleSuspect clears the records of a request that completed, and releases a
// trial that did not run.
func (j *job) settleSuspect() {
	s := j.gateway.state.suspects
	if j.succeeded && len(j.head.Shared()) > 0 {
		j.recordWholeRun()
	}
	switch {
	case j.complete && j.isSuspect():
		s.clear(j.fingerprint(), ranToCompletion)
	case j.trial.number > 0 && !j.mayHaveStarted:
		s.trialReleased(j.trial.subject, j.trial.number)
	}
}
