package routing

import (
	"time"

	"github.com/jayproxy/jayproxy/internal/call"
)

// DirectServer is a backend server that is called without an agent beside it,
// as a decision sees it. The caller builds the list; At is not needed, since
// each field says how old it may be.
type DirectServer struct {
	// ID is new with every start of the server, Hash is its rendezvous hash.
	ID string
	// Instance is the name that the server gives itself.
	Instance   string
	Hash       uint64
	Address    string
	DataCentre string
	Slots      int
	// KVTokens is the engine's memory; 0: unknown.
	KVTokens int
	// Version of the model's weights as last believed; 0 for plain services.
	Version uint64
	// VersionAge is how long ago a newer version was named; 0: it is the newest.
	VersionAge time.Duration
	// Switching servers are about to take new weights, or do so now.
	Switching bool
	// Full servers take no more connections of this entry.
	Full bool
	// Usable and Weight are membership's word.
	Usable bool
	Weight float64
}

// DirectRequest is what a decision needs to know of a request.
type DirectRequest struct {
	ID string
	// IsolatedWorkspace keeps the cached parts of an isolated workspace apart; empty: shared by all.
	IsolatedWorkspace string
	// Prefix holds the parts that other requests may share, outermost first.
	Prefix []call.Part
	// Tokens of the whole prompt, and at most of the answer.
	Tokens       int
	OutputTokens int
	// MemoryShare of a server's memory that is planned with for it; 0: all.
	MemoryShare float64
	// Stores of kept cache; read only.
	Stores []KVCacheStore
	// MayWait: Choose returns ErrNoRoom rather than a server at which the request
	// would wait for memory.
	MayWait bool
	// SuspectKey, where it is not 0, sends the request to the first server in this key's
	// order, whatever holds its prefix: requests under which servers crashed are
	// kept from each other so, and the next crash tells them apart.
	SuspectKey uint64
	// DataCentre that the request is sent from; empty: the router's own.
	DataCentre string
	// ExpiresAt is when the request counts no more, should its end never be told;
	// zero: it is always told.
	ExpiresAt time.Time
}

// DirectChoice is where to send a request and what to tell the server.
type DirectChoice struct {
	Server DirectServer
	// Salt that the server's cached parts stand under.
	Salt string
	// FetchFrom is the address of a holder or store of the prefix; empty: none.
	FetchFrom string
	// SaveTo is the address of the store that the prompt is sent to; empty: none.
	SaveTo string
	// ExpectedMS to the first token, Terms the parts of the score, for logs.
	ExpectedMS float64
	Terms      DirectTerms
	// Candidates that passed the filter.
	Candidates int
	// Prefix names the shared prefix under the salt, Source says why the server
	// is thought to hold it or where it gets it from; for logs.
	Prefix uint32
	Source PrefixSource
}

// DirectTerms are the parts of a score, in milliseconds.
type DirectTerms struct {
	QueueMS     float64
	PrefillMS   float64
	RecomputeMS float64
	VersionMS   float64
	DistanceMS  float64
	PenaltyMS   float64
	MemoryMS    float64
}

// Total is the score: the server with the least is chosen.
func (t DirectTerms) Total() float64 {
	return t.QueueMS + t.PrefillMS + t.RecomputeMS + t.VersionMS + t.DistanceMS + t.PenaltyMS + t.MemoryMS
}
