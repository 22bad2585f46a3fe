package routing

import (
	"math"
	"slices"
	"time"

	"github.com/jayproxy/jayproxy/internal/locality"
)

// Locality decides which requests may leave their home data centre, and what that
// costs.
type Locality interface {
	// Group returns the demand of a data centre's callers for a service.
	Group(now time.Time, service, home string) *locality.Group
	// ChargeMS is the charge for a request between two data centres, BytesMS that for
	// bytes alone.
	ChargeMS(now time.Time, between locality.Pair, bytes float64) float64
	BytesMS(bytes float64) float64
	// ResponseBytes is the mean length of a service's responses, if known.
	ResponseBytes(service string) (bytes float64, ok bool)
	// PaidMS is what requests were lately charged for leaving for a prefix; PayMS adds
	// to it.
	PaidMS(now time.Time, prefix uint32, home string) float64
	PayMS(now time.Time, prefix uint32, home string, ms float64)
	// SetDeciders sets the number of routers that divide the demand of one data centre.
	SetDeciders(n int)
}

const (
	// stayMS is the cost of a server in another data centre for a request that is to stay
	// at home. It is longer than any queue that a caller would wait for, and finite, so
	// that a server remains when all others are unsuitable.
	stayMS = 10_000
	// leaveMS is by how much the wait must be shorter in another data centre, beyond the
	// charge, for a prompt to leave because of it, and followMS what a cached prefix must
	// save: estimates err by as much. In the model of
	// TestPromptsLeaveWhereTheyAreServedEarlier, bytes at the usual load are 0.56 of those
	// without a price with a leaveMS of 20, and 0.48 with 120; with 250, one in 200 more is
	// late at twice the load.
	leaveMS  = 120
	followMS = 20
	// bytesPerToken of prompts and responses whose length is not known.
	bytesPerToken = 4
	// assumedUse is the use that is assumed of plain servers without a report, and with
	// rising weight as a report grows old: a data centre that was full is tried again with
	// part of what it could take.
	assumedUse = 0.55
	// unknownSlots is assumed of servers that do not say how many slots they have: demand
	// that is far from a limit must not leave.
	unknownSlots = 64
	// ordinaryQueue is the number of prompts that wait at a busy engine without any lack
	// of capacity.
	ordinaryQueue = 4
)

// crossing is what one decision knows of the request's home data centre. The zero value
// is used without a Locality.
type crossing struct {
	group   *locality.Group
	home    string
	verdict locality.Verdict
	// bytes of the prompt and the response; toMS is the charge for the data centre that
	// the request may leave for.
	bytes, toMS float64
	// hasHome: a server of the home data centre can serve.
	hasHome bool
	// counted: an earlier attempt has been counted as demand.
	counted bool
	// waitMS is the wait at the best of the servers at home and in verdict.To; early: it is
	// long enough for the request to leave for a shorter one.
	waitMS float64
	early  bool
}

// between returns the pair of the home data centre and another one.
func (c *crossing) between(to string) locality.Pair { return locality.Pair{From: c.home, To: to} }

// beginCrossing decides whether the request may leave its home data centre, and returns
// the servers that it may then be sent to. Servers elsewhere that hold its prefix are
// not among them; see elsewhere.
func (d *Direct) beginCrossing(now time.Time, req *DirectRequest, servers []DirectServer, usable []int32, tried []string) []int32 {
	d.crossing = crossing{}
	home := d.originDataCentre(req)
	if d.options.Locality == nil || home == "" {
		return usable
	}
	c := &d.crossing
	c.group, c.home, c.counted = d.options.Locality.Group(now, req.Service, home), home, len(tried) > 0
	if c.group.Due(now, len(servers)) {
		c.group.Update(now, d.viewCentres(now, servers, c.group.WorkMS(), req.Tokens > 0))
	}
	c.verdict = c.group.Decide(hashOf(req.ID), c.counted)
	if c.verdict.To != "" && d.hasFreeSlotAtHome(now, req, servers, usable) {
		c.verdict.To = ""
	}
	c.bytes = d.bytesOf(req)
	if c.verdict.To != "" {
		c.toMS = d.options.Locality.ChargeMS(now, c.between(c.verdict.To), c.bytes)
	}
	d.local = d.local[:0]
	for _, index := range usable {
		at := servers[index].DataCentre
		c.hasHome = c.hasHome || at == home
		if at == home || at == c.verdict.To {
			d.local = append(d.local, index)
		}
	}
	if len(d.local) == 0 || req.SuspectKey != 0 {
		return usable
	}
	return d.local
}

// recentReport is the age up to which a server's report shows its free slots.
const recentReport = 300 * time.Millisecond

// hasFreeSlotAtHome reports whether a plain request would begin at once at home, by the count
// of an owner, which sees all requests, or by a server's report: the owner learns late that
// requests have ended. The measured demand is averaged over a time in which few requests come
// to a server with few slots, so that a burst looks like lack of capacity.
func (d *Direct) hasFreeSlotAtHome(now time.Time, req *DirectRequest, servers []DirectServer, usable []int32) bool {
	if !d.options.ExclusiveServers || req.Tokens > 0 {
		return false
	}
	for _, index := range usable {
		s := &servers[index]
		if s.DataCentre != d.crossing.home {
			continue
		}
		l := d.load(s.ID)
		reported := now.Sub(l.otherRequestsAt) < recentReport && l.reportedRequests+l.placedSince < s.Slots
		if reported || l.running < s.Slots {
			return true
		}
	}
	return false
}

// bytesOf returns the expected bytes of the request and its response.
func (d *Direct) bytesOf(req *DirectRequest) float64 {
	bytes := float64(req.Bytes)
	if req.Bytes == 0 {
		bytes = bytesPerToken * float64(req.Tokens)
	}
	response, ok := d.options.Locality.ResponseBytes(req.Service)
	if !ok {
		response = bytesPerToken * meanOutputShare * float64(req.OutputTokens)
	}
	return bytes + response
}

// viewCentres sums up the known state of the servers by data centre. workMS is the mean
// work of a request. The result is valid until the next call.
func (d *Direct) viewCentres(now time.Time, servers []DirectServer, workMS float64, engines bool) []locality.Centre {
	d.centres = d.centres[:0]
	var at *locality.Centre
	for i := range servers {
		s := &servers[i]
		l := d.load(s.ID)
		l.dataCentre, l.index = s.DataCentre, int32(i) //nolint:gosec // an index of a short list
		if !s.Usable || s.Switching || d.options.MaxVersionAge > 0 && s.VersionAge > d.options.MaxVersionAge {
			continue
		}
		if at == nil || at.Name != s.DataCentre {
			at = d.centre(s.DataCentre)
		}
		speed := max(s.Weight, minWeight) / max(1, 1+l.slowdownMS(now, 1))
		if engines {
			viewEngine(now, at, l, s, workMS, speed)
			continue
		}
		viewPlain(now, at, l, s, workMS, speed)
	}
	return d.centres
}

// viewPlain adds a plain server to the view of its data centre.
func viewPlain(now time.Time, at *locality.Centre, l *directLoad, s *DirectServer, workMS, speed float64) {
	slots := float64(s.Slots)
	if slots <= 0 {
		slots = unknownSlots
	}
	at.Capacity += slots * speed
	// The router avoids servers that reported much work, so that their reports are older
	// than the others and would stand for too much if they counted fully.
	weight := max(0, 1-float64(now.Sub(l.otherRequestsAt))/float64(reportLifetime))
	others := weight*l.otherRequests + (1-weight)*max(0, assumedUse*slots-float64(l.running))
	ahead := float64(l.running) + others
	at.Load += ahead * speed
	at.WaitingMS += max(0, ahead-slots) * workMS
}

// viewEngine adds an engine to the view of its data centre. Its use is derived from the
// prefill that waits, as in a queue with random arrivals.
func viewEngine(now time.Time, at *locality.Centre, l *directLoad, s *DirectServer, workMS, speed float64) {
	pending := l.prefill.total() + l.hintedPrefillMS(now)
	before := at.Capacity
	at.Capacity += speed
	at.Load += speed * pending / (pending + workMS)
	at.WaitingMS += max(0, pending-ordinaryQueue*workMS)
	memory := 0.0
	if s.KVTokens > 0 {
		memory = float64(l.tokensInUse(now)) / float64(s.KVTokens)
	}
	at.MemoryUse = (at.MemoryUse*before + memory*speed) / at.Capacity
}

// centre returns the view of a data centre, a new one if it has none yet.
func (d *Direct) centre(name string) *locality.Centre {
	for i := range d.centres {
		if d.centres[i].Name == name {
			return &d.centres[i]
		}
	}
	d.centres = append(d.centres, locality.Centre{Name: name})
	return &d.centres[len(d.centres)-1]
}

// waitMS is the wait at a server for other work.
func (t *DirectTerms) waitMS() float64 { return t.QueueMS + t.MemoryMS + t.SlowdownMS + t.CorrectionMS }

// setWait records the wait at the best of the servers that the request need not leave for.
func (c *crossing) setWait(terms *DirectTerms, total float64) {
	c.waitMS = terms.waitMS()
	c.early = c.waitMS > leaveMS || math.IsInf(total, 1)
}

// elsewhere returns the servers in other data centres that a prompt may leave for: those that
// hold a part of its prefix and, where the wait is long, all of an owner's or of a small pool,
// else those of a sample.
func (d *Direct) elsewhere(req *DirectRequest, servers []DirectServer, all []int32, p *prefixPlan) []int32 {
	d.scored = d.scored[:0]
	if d.crossing.early {
		for _, index := range d.sampleServers(req, servers, all, p) {
			s := &servers[index]
			if s.DataCentre != d.crossing.home && s.DataCentre != d.crossing.verdict.To && p.forVersion(s.Version) != nil {
				d.scored = append(d.scored, index)
			}
		}
	}
	for i := range p.versions {
		v := &p.versions[i]
		for k := range v.levels {
			for h := range v.levels[k].holders {
				d.addHolder(servers, all, v.version, v.levels[k].holders[h].server)
			}
		}
	}
	return d.scored
}

// addHolder adds a holder of a prefix under a version to the servers to score, unless it is
// among them, is at home or can't serve.
func (d *Direct) addHolder(servers []DirectServer, all []int32, version uint64, id string) {
	l := d.loads[id]
	if l == nil || l.dataCentre == "" || l.dataCentre == d.crossing.home || l.dataCentre == d.crossing.verdict.To {
		return
	}
	at := d.indexOf(servers, id)
	if at < 0 || servers[at].Version != version || slices.Contains(d.scored, at) {
		return
	}
	if _, usable := slices.BinarySearch(all, at); usable {
		d.scored = append(d.scored, at)
	}
}

// heldTokens returns the number of prefix tokens that a server should hold; 0 if no plan
// was made for its version.
func (p *prefixPlan) heldTokens(s *DirectServer) int {
	if v := p.forVersion(s.Version); v != nil {
		return v.heldBy(s.ID)
	}
	return 0
}

// distanceMS is the cost of a server's data centre to the request. t has the terms of the wait
// at the server.
func (d *Direct) distanceMS(now time.Time, req *DirectRequest, s *DirectServer, p *prefixPlan, t *DirectTerms) float64 {
	c := &d.crossing
	if c.group == nil {
		if s.DataCentre != d.originDataCentre(req) {
			return otherDataCentreMS
		}
		return 0
	}
	ms := 0.0
	if p != nil && p.tokens > 0 {
		from := p.source(now, p.forVersion(s.Version), s)
		ms = d.fetchChargeMS(p, &from, s)
	}
	switch s.DataCentre {
	case c.home:
		return ms
	case c.verdict.To:
		return ms + c.toMS
	}
	ms += d.options.Locality.ChargeMS(now, c.between(s.DataCentre), c.bytes)
	switch {
	case p != nil && c.group.HasFree(s.DataCentre) && (c.early || p.heldTokens(s) > 0):
		return ms + min(max(c.waitMS-t.waitMS(), followMS), leaveMS) + d.paidMS(now, s, p)
	case !c.hasHome && c.verdict.To == "":
		return ms
	}
	return ms + stayMS
}

// paidMS is what requests were lately charged for leaving for the prefix that the server
// holds. A request that leaves to be served earlier is charged at most what the prefix saves,
// so that a server that holds it costs no more than one that does not.
func (d *Direct) paidMS(now time.Time, s *DirectServer, p *prefixPlan) float64 {
	held := p.heldTokens(s)
	if held == 0 {
		return 0
	}
	paid := d.options.Locality.PaidMS(now, p.forVersion(s.Version).deepestKey(), d.crossing.home)
	if d.crossing.early {
		paid = min(paid, float64(held)/prefillTokensPerMS)
	}
	return paid
}

// fetchChargeMS is the charge for the cached tokens that a server would fetch from another
// data centre.
func (d *Direct) fetchChargeMS(p *prefixPlan, from *sourcePlan, s *DirectServer) float64 {
	if from.fetched == 0 || d.options.Locality == nil {
		return 0
	}
	source := ""
	switch from.kind {
	case SourceStore:
		source = p.forVersion(s.Version).store.DataCentre
	default:
		if l := d.loads[from.server]; l != nil {
			source = l.dataCentre
		}
	}
	if source == "" || source == s.DataCentre {
		return 0
	}
	return d.options.Locality.BytesMS(float64(from.fetched) * float64(p.tokenBytes))
}

// tooFar reports whether fetching from another data centre would cost more than a
// prefill.
func (p *prefixPlan) tooFar(from *sourcePlan, s *DirectServer) bool {
	return p.router != nil && p.router.fetchChargeMS(p, from, s) > float64(from.fetched)/prefillTokensPerMS
}

// isRemote reports whether a known server is in another data centre than s, which matters
// only with a price.
func (p *prefixPlan) isRemote(server string, s *DirectServer) bool {
	if p.router == nil {
		return false
	}
	l := p.router.loads[server]
	return l != nil && l.dataCentre != "" && l.dataCentre != s.DataCentre
}

// leaveReason says why the chosen server is in another data centre.
func (d *Direct) leaveReason(s *DirectServer, p *prefixPlan) locality.Reason {
	c := &d.crossing
	switch {
	case c.group == nil || s.DataCentre == c.home:
		return locality.ReasonNone
	case c.verdict.Lost:
		return locality.ReasonLost
	case s.DataCentre != c.verdict.To && p != nil && p.heldTokens(s) > 0:
		return locality.ReasonPrefix
	}
	return locality.ReasonCapacity
}

// recordCrossing counts a placed request in the demand of its data centre.
func (d *Direct) recordCrossing(now time.Time, choice *DirectChoice, run *pendingRun, p *prefixPlan) {
	c := &d.crossing
	if c.group == nil {
		return
	}
	workMS := c.group.WorkMS()
	if p != nil {
		workMS = choice.Terms.PrefillMS
		c.group.ObserveWork(workMS)
	} else if choice.Server.DataCentre == c.home {
		// One request in a slot, and what waits for slots before it.
		l := d.loads[run.server]
		run.crowd = max(1, (float64(l.running)+l.others(now))/float64(max(choice.Server.Slots, 1)))
		// The capacity already counts a slow server as less.
		run.crowd *= max(1, 1+l.slowdownMS(now, 1))
	}
	run.group, run.dataCentre = c.group, choice.Server.DataCentre
	if !c.counted {
		run.workMS = workMS
		c.group.Placed(now, workMS, run.dataCentre)
	}
	if choice.Leaves == locality.ReasonPrefix {
		charge := d.options.Locality.ChargeMS(now, c.between(choice.Server.DataCentre), c.bytes)
		d.options.Locality.PayMS(now, choice.Prefix, c.home, charge)
	}
}

// mustAwaitOthers reports whether a request whose data centre is lost should wait, as the
// others have no capacity free for it beside their own callers' requests.
func (d *Direct) mustAwaitOthers(req *DirectRequest) bool {
	c := &d.crossing
	return req.MayWait && req.Tokens > 0 && c.group != nil && !c.hasHome && c.verdict.Lost && c.verdict.To == ""
}

// widenCrossing lets the request go to any data centre, after no server of its own was
// suitable.
func (d *Direct) widenCrossing() { d.crossing.hasHome, d.crossing.verdict.To = false, "" }

// refusedCrossing records that no server has memory for the request.
func (d *Direct) refusedCrossing(now time.Time, req *DirectRequest) {
	if c := &d.crossing; c.group != nil {
		c.group.Refused(now, float64(req.Tokens)/prefillTokensPerMS)
	}
}

// SetDeciders sets the number of routers among which the requests of this one's data
// centre are divided.
func (d *Direct) SetDeciders(n int) {
	if d.options.Locality != nil {
		d.options.Locality.SetDeciders(n)
	}
}
