// Package call defines types for the headers of forwarded calls: those of a caller's
// request, those that the router adds for the backend server, and those of the
// response. Wire formats are converted to these types at the edge and used nowhere
// else.
package call

import (
	"errors"
	"time"
)

// ErrMalformed means that a header of a call can't be decoded.
var ErrMalformed = errors.New("malformed call")

// Part is one part of a prompt. Parts are in the order of the prompt, so that the first
// ones are those that the most prompts share.
type Part struct {
	ID     string
	Tokens int
}

// Head holds the headers of a caller's request.
type Head struct {
	// ID is unique for each attempt of the caller.
	ID string
	// Key is the caller's API key, a secret: it must not be logged or forwarded.
	Key string
	// Timeout is how long the caller waits; 0: not given.
	Timeout time.Duration
	Model   string
	// InputTokens is the length of the prompt, OutputTokens that of the longest output.
	InputTokens  int
	OutputTokens int
	// HasTokens: the caller stated these lengths.
	HasTokens bool
	Parts     []Part
	// LastEventID is the last event that the caller has of a stream that it resumes.
	LastEventID string
	// Resumes is the ID of the attempt that brought the first event of that stream; empty:
	// not given.
	Resumes string
}

// Shared returns the parts that other requests may have in common: all but the
// last, which is specific to the request or its session.
func (h *Head) Shared() []Part {
	if len(h.Parts) < 2 {
		return nil
	}
	return h.Parts[:len(h.Parts)-1]
}

// ForwardOptions is what an entry sends to a backend server in addition to the
// caller's request.
type ForwardOptions struct {
	// Instance that must answer; any other instance refuses the request.
	Instance string
	// Timeout is the time that the backend server has to answer.
	Timeout time.Duration
	// Workspace of the caller; empty: none.
	Workspace string
	// Priority from 0, the highest, to 9; negative: not sent.
	Priority int
	// Salt separates cached parts: those with different salts are not shared; empty:
	// not sent.
	Salt string
	// Version of the weights that the server must answer with; 0: any.
	Version uint64
	// FetchFrom is the address from which the backend server can fetch the KV cache of
	// the prompt's parts; empty: none.
	FetchFrom string
	// SaveTo is the address of the KV cache store that the backend server saves the KV
	// cache of the parts to; empty: none.
	SaveTo string
	// LastEventID is the event after which a stream continues; empty: as the caller
	// sent it.
	LastEventID string
}

// Load is the load that a backend server reports with a response: its running and
// waiting requests, and how many it can run at once.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// SlowdownPercent is how long work takes on the server's machine at the moment,
	// where 100 is as usual; 0: not reported. It may change several times a second.
	SlowdownPercent int
}

// ResponseHead holds the status and headers of a backend server's response.
type ResponseHead struct {
	Status int
	// ID of the request that it belongs to; empty: not given.
	ID string
	// NotRun: the backend server states that the request did not run there.
	NotRun bool
	// Sealed: the response carries a seal, the backend server's signature.
	Sealed bool
	// HasLoad: Load was reported.
	HasLoad bool
	Load    Load
	// HasLimit: the server named a limit, of Limit requests per second from all entries
	// together.
	HasLimit bool
	Limit    float64
	// Draining: the server says that it takes no new work and will end.
	Draining bool
	// Version of the weights that answered; 0: not given.
	Version uint64
	// RetryAfter is the delay that the backend server asks for; 0: none.
	RetryAfter time.Duration
	// KeepAlive is how long the backend server keeps the connection open while it is
	// idle; 0: not given.
	KeepAlive time.Duration
	// Encoded: the body has a content encoding, so it is not as the backend server
	// produced it.
	Encoded bool
	// Instance that answered; empty: not given.
	Instance string
}

// Refused reports whether the response proves that the request did not run. Status 421
// (Misdirected Request) does so, too.
func (h *ResponseHead) Refused() bool { return h.NotRun || h.Status == 421 }

// IsFrom reports whether the response may be that of an instance. Most responses do not
// name theirs; any other instance than the one called refuses the request.
func (h *ResponseHead) IsFrom(instance string) bool {
	return h.Instance == instance || h.Instance == "" && h.Status != 421
}

// Report is the state that a backend server reports of itself, a few hundred
// milliseconds old.
type Report struct {
	// StartedMS is when the server started, in Unix ms; 0: not given.
	StartedMS int64
	// Versions of the loaded weights, by model.
	Versions map[string]uint64
	// Busy: it is loading weights. Draining: it takes no new work and will end.
	Busy, Draining bool
	// Orders is how many orders it has accepted.
	Orders uint64
	// Running and Queued are numbers of requests.
	Running int
	Queued  int
	// KVUsed and KVTotal are the used part and the size of its KV cache.
	KVUsed  int
	KVTotal int
}

// PartChange is a change to one part of a prompt in a KV cache store.
type PartChange struct {
	Salt, Part string
	// Dropped: the store has evicted the part, or the end of it. Otherwise it has stored
	// the part.
	Dropped bool
}

// KVStoreChanges lists what a KV cache store has stored and evicted since an earlier
// call. Changes are listed about 100 ms late, and a few are never listed.
type KVStoreChanges struct {
	// Epoch changes when the store restarts, empty.
	Epoch uint64
	// Next is the position at which the next call continues. Lost: some changes since
	// the earlier call are no longer available.
	Next  uint64
	Lost  bool
	Parts []PartChange
}

// LoadOrder orders a backend server to load new weights.
type LoadOrder struct {
	Instance string
	Address  string
	Model    string
	Version  uint64
	// Mode says what happens to running requests.
	Mode LoadMode
	// Holder is the name of the lease's holder.
	Holder string
	// Fence is the fencing number of the holder's lease.
	Fence uint64
	// Expected is how many orders the server must have accepted so far; negative: not
	// checked.
	Expected int64
}

// LoadMode says what happens to running requests when the weights change.
type LoadMode int

// The modes.
const (
	// LoadAfterRunning: the server loads when they have finished.
	LoadAfterRunning LoadMode = iota
	// LoadAbortRunning: they are aborted.
	LoadAbortRunning
	// LoadKeepRunning: they continue with the new weights.
	LoadKeepRunning
)

// ErrBusy means that the server was reached but accepts no more such calls for now.
var ErrBusy = errors.New("too many calls")

// ErrOtherInstance means that a different instance than the one called has the
// address.
var ErrOtherInstance = errors.New("another instance has the address")

// OrderOutcome is the outcome of an order.
type OrderOutcome int

// The outcomes.
const (
	// OrderUnknown: no response; the order may still be carried out at any time.
	OrderUnknown OrderOutcome = iota
	// OrderAccepted: it is being carried out.
	OrderAccepted
	// OrderAlreadyLoaded: the server has the version already.
	OrderAlreadyLoaded
	// OrderBusy: another order is in progress, or the count of orders differs from
	// LoadOrder.Expected.
	OrderBusy
	// OrderFenced: the server has seen a higher fencing number.
	OrderFenced
	// OrderInvalid: the server does not support the order, or does not have the version.
	OrderInvalid
	// OrderMisdirected: a different instance has the address.
	OrderMisdirected
	// OrderNotSent: no connection could be opened.
	OrderNotSent
)

var outcomeNames = [...]string{"unknown", "accepted", "holds", "busy", "fenced", "invalid", "misdirected", "not_sent"}

// String returns the name for logs and metrics.
func (o OrderOutcome) String() string { return outcomeNames[o] }
