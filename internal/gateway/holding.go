package gateway

import (
	"context"
	"encoding/binary"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/quarantine"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

// identity of the request across its caller's attempts.
func (j *job) identity() quarantine.Identity {
	identity := quarantine.Identity{
		Host: j.caller.Host, Method: j.message.Method, Target: j.message.Target, Body: j.message.Body,
	}
	if j.workspace != nil {
		identity.Caller = j.workspace.Name
	}
	return identity
}

func (j *job) fingerprint() quarantine.Fingerprint { return j.hashes.Fingerprint() }

// fingerprintOf a send that may have run, for logs; empty for others.
func (j *job) fingerprintOf(outcome result) string {
	if outcome == notSent {
		return ""
	}
	return j.fingerprint().String()
}

// suspected tells whether anything is known of the request.
func (j *job) suspected() bool {
	return j.gateway.state.suspects.mayKnow(&j.hashes)
}

// isHeld tells whether the request must not be sent, and when its caller may
// come back. A trial that is due is claimed first.
func (j *job) isHeld() (retryAfter time.Duration, held bool) {
	if j.trial > 0 || !j.suspected() {
		return 0, false
	}
	g := j.gateway
	v := g.state.suspects.verdict(time.Now(), j.fingerprint())
	if v.Trial > 0 && g.claimTrial(j.ctx, j.fingerprint(), v.Trial) {
		j.trial = v.Trial
		return 0, false
	}
	return v.RetryAfter, v.Quarantined
}

// turnBack answers a request that is held.
func (j *job) turnBack(after time.Duration) {
	j.gateway.metrics.Count("held_back", j.class(), 1)
	klog.InfoS("Request held back", "request", j.head.ID, "fingerprint", j.fingerprint().String(), "retryAfterMS", after.Milliseconds(), "ranOn", j.ranOn)
	const why = "held: servers crashed under it"
	if j.ranOn > 0 {
		j.giveUp(why)
		return
	}
	j.refuse(why, after)
}

// apartKey is what keeps a suspected request from others; 0: it is none. It
// changes with each crash, so that two that met once part. By their prefix they
// would all go to its home, and no crash could tell which is at fault.
func (j *job) apartKey() uint64 {
	crashes := len(j.brokeEarly)
	if j.suspected() {
		crashes += j.gateway.state.suspects.strikes(j.fingerprint())
	}
	if crashes == 0 {
		return 0
	}
	f := j.fingerprint()
	return routing.Rendezvous(binary.BigEndian.Uint64(f[len(f)-8:]), uint64(crashes)) | 1 //nolint:gosec // positive
}

// suspectsAllowRepeat tells whether a run that broke off may be repeated as far
// as its server's end is concerned.
func (j *job) suspectsAllowRepeat() bool {
	if j.trial > 0 {
		return false
	}
	if len(j.brokeEarly) == 0 {
		return true
	}
	return j.gateway.state.suspects.mayRepeat(j.fingerprint(), j.brokeEarly)
}

// noteEarlyEnd takes in that a run ended with its connection. Where it had just
// begun, the server is asked whether it still listens.
func (j *job) noteEarlyEnd(choice *routing.DirectChoice) {
	now := time.Now()
	if !quarantine.JustBegun(now, j.firstEventAt) {
		return
	}
	g, server := j.gateway, choice.Server
	if g.state.isDraining(server.ID) {
		return
	}
	j.brokeEarly = append(j.brokeEarly, server.ID)
	g.state.suspects.broke(now, quarantine.Crash{Request: j.fingerprint(), Server: server.ID})
	if g.state.suspects.mayAsk(server.ID) {
		g.spawn(func() { g.askListens(server.ID, server.Address) })
	}
}

// isDraining tells whether a server is listed as leaving: its end is planned.
func (s *state) isDraining(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.list.Get(server)
	return b != nil && b.Draining
}

// askListens finds out whether a server's process has ended. Waiting for the next
// request that is sent there would let the caller's next attempt go first.
func (g *Gateway) askListens(server, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTime)
	defer cancel()
	err := g.pool.Probe(ctx, address, keepUnsaid)
	now := time.Now()
	g.state.suspects.answered(now, server, err == nil)
	if errors.Is(err, upstream.ErrNoListener) {
		g.state.sendFailed(now, server, err)
	}
}

// settle takes in how the request ended, for what is believed of it.
func (j *job) settle() {
	s := j.gateway.state.suspects
	switch {
	case j.whole && j.suspected():
		s.clear(j.fingerprint(), "ran whole")
	case j.trial > 0 && !j.reached:
		s.released(j.fingerprint(), j.trial)
	}
}
