package routing

import (
	"time"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/locality"
)

// DirectServer is a backend server that is called without an agent, as the
// router sees it.
type DirectServer struct {
	// ID is new with every incarnation of the server.
	ID string
	// Instance is the name that the server reports.
	Instance   string
	Address    string
	DataCentre string
	// The fields below are read of every server in each choice. Those that are read of few
	// are above, so that a choice reads half of a long list's memory.

	// Hash is the rendezvous hash of the ID.
	Hash  uint64
	Slots int
	// Software identifies the version of the server's software; 0: unknown.
	Software uint32
	// KVTokens is the size of the engine's KV cache memory in tokens; 0:
	// unknown.
	KVTokens int
	// Version of the model's weights, as last observed; 0 for services without
	// a model.
	Version uint64
	// VersionAge is the time since a newer version was announced; 0: it is the
	// newest.
	VersionAge time.Duration
	// Switching: the server loads new weights or is about to.
	Switching bool
	// Refusing: it loads new weights and refuses requests meanwhile.
	Refusing bool
	// Full: the server takes no more connections from this entry.
	Full bool
	// Usable and Weight are the membership's view of the server; Weight is in
	// (0, 1].
	Usable bool
	Weight float64
}

// DirectRequest holds the properties of a request that the choice depends on.
type DirectRequest struct {
	ID string
	// CacheScope separates the cached parts of requests that may not share them; empty:
	// shared by all.
	CacheScope string
	// Prefix holds the parts that other requests may share, outermost first.
	Prefix []call.Part
	// Tokens of the whole prompt; OutputTokens is the upper bound for the
	// output.
	Tokens       int
	OutputTokens int
	// Priority that the server is sent with the request; 0 is the highest.
	Priority int
	// Ranked: requests differ in priority. The expected time is corrected by the error of
	// earlier ones, and long prompts wait outside long queues.
	Ranked bool
	// TimeLeft is the time until the caller gives up without a first token; 0: the
	// request is placed however late that is expected.
	TimeLeft time.Duration
	// MemoryShare is the share of a server's memory that this request may use;
	// 0: all.
	MemoryShare float64
	// KVStores are the KV cache stores; they are only read.
	KVStores []KVStore
	// MayWait: Choose returns ErrNoFreeMemory rather than a server at which the
	// request would wait long for memory.
	MayWait bool
	// SuspectKey, if not 0, sends the request to the server that ranks first
	// for this key, wherever its prefix is held. Suspect requests go to
	// different servers this way, so that the next crash shows which of them
	// causes crashes.
	SuspectKey uint64
	// Software is the only version of the servers' software that may serve; 0: any.
	Software uint32
	// DataCentre that the request is sent from; empty: the router's own.
	DataCentre string
	// Service that is called; with a Locality, its demand is kept apart from that of others.
	Service string
	// Bytes of the request; 0: estimated from Tokens. TokenBytes is the size of one
	// cached token. Both matter only with a Locality.
	Bytes, TokenBytes int
	// ExpiresAt is when the request is dropped from its server's load if
	// Finished was not called; zero: never.
	ExpiresAt time.Time
}

// DirectChoice is where to send a request, and what the server is instructed to
// do with its prefix.
type DirectChoice struct {
	Server DirectServer
	// Salt under which the server caches the prompt's parts.
	Salt string
	// FetchFrom is the address of a server or store to fetch the prefix from;
	// empty: none.
	FetchFrom string
	// SaveTo is the address of the store to send the prompt to; empty: none.
	SaveTo string
	// ExpectedMS is the expected time to the first token; Terms are the terms
	// of the score.
	ExpectedMS float64
	Terms      DirectTerms
	// Candidates is the number of servers that passed the filter.
	Candidates int
	// Prefix identifies the shared prefix under the salt; 0: none. Source says
	// where the server gets the prefix from.
	Prefix uint32
	Source PrefixSource
	// Leaves says why the server is in another data centre than the caller, if a Locality
	// decided on that.
	Leaves locality.Reason
}

// DirectTerms are the terms of a score, in milliseconds.
type DirectTerms struct {
	QueueMS     float64
	PrefillMS   float64
	RecomputeMS float64
	VersionMS   float64
	DistanceMS  float64
	PenaltyMS   float64
	MemoryMS    float64
	// SlowdownMS is what the server's reported slowdown adds.
	SlowdownMS float64
	// InterruptMS stands for the pause of the streams that run at the server.
	InterruptMS float64
	// AheadMS is the pending prefill of the request's own and of higher priorities,
	// LowerPriorityMS that of lower ones. They are no part of the score: QueueMS has
	// the first and the chunk of the second that delays the request.
	AheadMS, LowerPriorityMS float64
	// CorrectionMS is by how much later than expected the first token is assumed to
	// come, as those of earlier requests did.
	CorrectionMS float64
}

// expectedMS is the expected time to the first token.
func (t *DirectTerms) expectedMS() float64 {
	return t.QueueMS + t.PrefillMS + t.MemoryMS + t.CorrectionMS
}

// Total is the score; the server with the lowest is chosen.
func (t DirectTerms) Total() float64 {
	return t.QueueMS + t.PrefillMS + t.RecomputeMS + t.VersionMS + t.DistanceMS + t.PenaltyMS + t.MemoryMS + t.SlowdownMS + t.InterruptMS + t.CorrectionMS
}
