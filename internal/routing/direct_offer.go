package routing

import "time"

// Offer is a server that another entry, the owner of its shard, chose for a
// request of this entry.
type Offer struct {
	Server DirectServer
	// FetchFrom, SaveTo and Source are as in DirectChoice, for the server's
	// version.
	FetchFrom, SaveTo string
	Source            PrefixSource
	// Expected wait for other work and for memory, and prefill time.
	QueueMS, MemoryMS, PrefillMS float64
	// LowerPriorityMS is as in DirectTerms.
	LowerPriorityMS float64
}

// AcceptOffer counts a request at the offered server and returns the choice for
// it.
func (d *Direct) AcceptOffer(now time.Time, req *DirectRequest, offer *Offer) DirectChoice {
	d.crossing = crossing{}
	servers := []DirectServer{offer.Server}
	p := d.plan(now, req, servers, []int32{0})
	choice := DirectChoice{
		Server: offer.Server, ExpectedMS: offer.QueueMS + offer.MemoryMS + offer.PrefillMS, Candidates: 1,
		Terms: DirectTerms{QueueMS: offer.QueueMS, MemoryMS: offer.MemoryMS, PrefillMS: offer.PrefillMS, LowerPriorityMS: offer.LowerPriorityMS},
	}
	if p != nil {
		v := p.forVersion(offer.Server.Version)
		choice.Salt, choice.Prefix = v.salt, v.deepestKey()
		choice.Source, choice.FetchFrom, choice.SaveTo = offer.Source, offer.FetchFrom, offer.SaveTo
	}
	d.commit(now, req, &choice, p)
	return choice
}

// PrefixHolder is a server that holds a prefix, or will after ReadyIn, under
// the salt of a version of the weights.
type PrefixHolder struct {
	Server, Address string
	Version         uint64
	ReadyIn         time.Duration
}

func (h *PrefixHolder) record(now time.Time, owner uint32) holderRecord {
	return holderRecord{server: h.Server, address: h.Address, owner: owner, readyAt: now.Add(h.ReadyIn)}
}

// ReceiveHolder records that a server, possibly one of another router's, holds
// the shared prefix of a request.
func (d *Direct) ReceiveHolder(now time.Time, req *DirectRequest, holder PrefixHolder) {
	v := d.versionPlan(now, req, holder.Version)
	for i := range v.levels {
		d.prefixes.add(now, v.levels[i].key, holder.record(now, req.OwnerKey()))
	}
}

// PlacedElsewhere takes back a request that this router chose a server for: it
// was sent to holder instead, another router's server, which holds its prefix
// from then on. Without this record the next request with the prefix would be
// prefilled here again.
func (d *Direct) PlacedElsewhere(now time.Time, request string, holder PrefixHolder) {
	run := d.pending[request]
	if run == nil {
		return
	}
	d.Finished(now, request, false)
	if run.group != nil {
		run.group.Placed(now, -run.workMS, run.dataCentre)
	}
	for _, key := range run.keys {
		d.prefixes.add(now, key, holder.record(now, run.owner))
	}
}

// FreeCapacity returns the number of servers that may take requests, without those kept for
// a last resort, and the mean pending prefill of this router's requests at them.
func (d *Direct) FreeCapacity(servers []DirectServer) (left int, prefillMS float64) {
	for i := range servers {
		if s := &servers[i]; s.Switching || !s.Usable {
			continue
		}
		left++
		if l := d.loads[servers[i].ID]; l != nil {
			prefillMS += l.prefill.total()
		}
	}
	return left, prefillMS / float64(max(left, 1))
}

// Holder returns the holder of an offered request's prefix: the offered server,
// or the one that it would fetch the prefix from. ok is false when none is
// known.
func (o *Offer) Holder() (holder PrefixHolder, ok bool) {
	switch o.Source {
	case SourceHeld:
		return PrefixHolder{Server: o.Server.ID, Address: o.Server.Address, Version: o.Server.Version}, true
	case SourceHolder:
		return PrefixHolder{Address: o.FetchFrom, Version: o.Server.Version}, true
	}
	return PrefixHolder{}, false
}

// maxGoodWaitMS is the wait at an offered server above which another owner is
// asked. Asking takes a few milliseconds and may end in one more copy of the
// prefix; callers wait for about a second. In the model of
// TestShardOwnersServeLargeFleet the net share was 0.897 with 60 ms, 0.906 with
// 120 and 0.911 with 250.
const maxGoodWaitMS = 150

// GoodOffer reports whether an offer with these expected waits for other work
// and for memory is accepted without asking another owner.
func GoodOffer(queueMS, memoryMS float64) bool { return queueMS+memoryMS <= maxGoodWaitMS }

// OwnerKey returns the key by which servers are ranked for a request's prefix: the owner of the
// server that ranks first is asked. It does not depend on the version of the weights, so that a
// new version moves no prefix to owners that know no server which holds it. Requests without a
// prefix are keyed by their ids.
func (r *DirectRequest) OwnerKey() uint32 {
	if len(r.Prefix) == 0 {
		return levelKey(hashOf(r.ID))
	}
	chain := hashOf(Salt(0, r.CacheScope))
	for _, part := range r.Prefix {
		chain = Rendezvous(chain, hashOf(part.ID))
	}
	return levelKey(chain)
}

// SourceFromCode returns the source for a code received from another entry;
// SourceNone for unknown codes.
func SourceFromCode(code uint32) PrefixSource {
	if code >= uint32(len(sourceNames)) {
		return SourceNone
	}
	return PrefixSource(code)
}
