package routing

import "time"

// Offer is a server that another entry chose for a request of ours.
type Offer struct {
	Server DirectServer
	// FetchFrom, SaveTo and Source are as in DirectChoice, for the server's version.
	FetchFrom, SaveTo string
	Source            PrefixSource
	// Expected wait for other work and for memory, and reading time.
	QueueMS, MemoryMS, PrefillMS float64
}

// AcceptOffer counts a request at the server that it was offered, and says what to
// tell that server.
func (d *Direct) AcceptOffer(now time.Time, req *DirectRequest, offer *Offer) DirectChoice {
	servers := []DirectServer{offer.Server}
	p := d.plan(now, req, servers, []int32{0})
	choice := DirectChoice{
		Server: offer.Server, ExpectedMS: offer.QueueMS + offer.MemoryMS + offer.PrefillMS, Candidates: 1,
		Terms: DirectTerms{QueueMS: offer.QueueMS, MemoryMS: offer.MemoryMS, PrefillMS: offer.PrefillMS},
	}
	if p != nil {
		v := p.forVersion(offer.Server.Version)
		choice.Salt, choice.Prefix = v.salt, v.deepestKey()
		choice.Source, choice.FetchFrom, choice.SaveTo = offer.Source, offer.FetchFrom, offer.SaveTo
	}
	d.commit(now, req, &choice, p)
	return choice
}

// PrefixHolder tells that a server holds a prefix, or will in a while, under the salt
// of a version of the weights.
type PrefixHolder struct {
	Server, Address string
	Version         uint64
	ReadyIn         time.Duration
}

// ReceiveHolder takes in that a server, which another router places onto perhaps,
// holds the shared prefix of a request.
func (d *Direct) ReceiveHolder(now time.Time, req *DirectRequest, holder PrefixHolder) {
	v := d.versionPlan(now, req, holder.Version)
	for i := range v.levels {
		d.prefixes.add(now, v.levels[i].key, holder.Server, holder.Address, now.Add(holder.ReadyIn))
	}
}

// PlacedElsewhere takes back a request that this router chose a server for: it was
// sent to another router's server, which holds its prefix from then on. Without
// that word the next request with the prefix would be read here once more.
func (d *Direct) PlacedElsewhere(now time.Time, request string, holder PrefixHolder) {
	run := d.pending[request]
	if run == nil {
		return
	}
	d.Finished(now, request, false)
	for _, key := range run.keys {
		d.prefixes.add(now, key, holder.Server, holder.Address, now.Add(holder.ReadyIn))
	}
}

// Holder is who holds the prefix of an offered request: the offered server, or
// the one that it would fetch from. False: nobody is known to.
func (o *Offer) Holder() (holder PrefixHolder, ok bool) {
	switch o.Source {
	case SourceHeld:
		return PrefixHolder{Server: o.Server.ID, Address: o.Server.Address, Version: o.Server.Version}, true
	case SourceHolder:
		return PrefixHolder{Address: o.FetchFrom, Version: o.Server.Version}, true
	}
	return PrefixHolder{}, false
}

// maxGoodWaitMS of an offer, above which another one is worth a second question,
// which takes a few milliseconds and may end in one more copy of the prefix. In
// the model of TestShardsKnowWhatALargeFleetDoes the net share was 0.897 with
// 60 ms, 0.906 with 120 and 0.911 with 250; callers wait for about a second.
const maxGoodWaitMS = 150

// GoodOffer tells whether a request that would wait so long for other work and
// for memory need not ask another owner.
func GoodOffer(queueMS, memoryMS float64) bool { return queueMS+memoryMS <= maxGoodWaitMS }

// RendezvousKey is the key by which servers are ranked for a request's prefix under a
// version of the weights: the owner of the first of them is asked, and an entry
// that can't ask any sends the request to the same server. Requests without a
// prefix are told apart by their ids.
func (r *DirectRequest) RendezvousKey(version uint64) uint64 {
	if len(r.Prefix) == 0 {
		return hashOf(r.ID)
	}
	chain := hashOf(Salt(version, r.IsolatedWorkspace))
	for _, part := range r.Prefix {
		chain = Rendezvous(chain, hashOf(part.ID))
	}
	return uint64(levelKey(chain))
}

// SourceFromCode returns the source of a number that another entry told; those
// that are not known are none.
func SourceFromCode(code uint32) PrefixSource {
	if code >= uint32(len(sourceNames)) {
		return SourceNone
	}
	return PrefixSource(code)
}
