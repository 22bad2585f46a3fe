// Package call holds the typed heads of forwarded calls: what a caller asks
// for, what a backend server is told, and what its answer says. The words of
// the wire are decoded into these types at the boundary and used nowhere else.
package call

import (
	"errors"
	"time"
)

// ErrMalformed means that a head of a call can't be understood.
var ErrMalformed = errors.New("malformed call")

// Part is one nested part of a prompt, outermost first.
type Part struct {
	ID     string
	Tokens int
}

// Head is what a caller says of its request.
type Head struct {
	// ID is new with every attempt of the caller.
	ID string
	// Key is the caller's secret; never logged, never forwarded.
	Key string
	// Timeout is how long the caller waits; 0: not said.
	Timeout time.Duration
	Model   string
	// InputTokens of the prompt, OutputTokens at most.
	InputTokens  int
	OutputTokens int
	Parts        []Part
	// LastEventID that the caller has of a stream that it resumes.
	LastEventID string
}

// Shared returns the parts that other requests may have in common: all but the
// last, which belongs to the request or its session.
func (h *Head) Shared() []Part {
	if len(h.Parts) < 2 {
		return nil
	}
	return h.Parts[:len(h.Parts)-1]
}

// ForwardOptions is what the system tells a backend server beside the caller's request.
type ForwardOptions struct {
	// Instance that must answer; any other refuses.
	Instance string
	// Timeout is the time that the backend server has.
	Timeout time.Duration
	// Workspace of the caller; empty: none.
	Workspace string
	// Priority 0 to 9, 0 first; negative: not told.
	Priority int
	// Salt keeps cached parts apart; empty: not told.
	Salt string
	// Version of the weights that must answer; 0: any.
	Version uint64
	// FetchFrom is the address of a holder of the prompt's parts; empty: none.
	FetchFrom string
	// SaveTo is the address of a store that the parts are sent to; empty: none.
	SaveTo string
	// LastEventID after which a stream goes on; empty: as the caller sent it.
	LastEventID string
}

// Load that a backend server tells of itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Answer is the head of a backend server's answer.
type Answer struct {
	Status int
	// ID of the request that it belongs to; empty: not said.
	ID string
	// NotRun: the backend server proves that the request did not run there.
	NotRun bool
	// Sealed: the answer carries the backend server's signature.
	Sealed bool
	// HasLoad tells whether Load was told.
	HasLoad bool
	Load    Load
	// Version of the weights that answered; 0: not said.
	Version uint64
	// RetryAfter that the backend server asks for; 0: none.
	RetryAfter time.Duration
	// KeepAlive is how long an idle connection may be used again; 0: not said.
	KeepAlive time.Duration
	// Encoded: the body is not as the backend server made it.
	Encoded bool
	// Instance that answered; empty: not said.
	Instance string
}

// Refused tells whether the answer proves that nothing ran.
func (a *Answer) Refused() bool { return a.NotRun || a.Status == 421 }

// Report is a backend server's own state, some hundred milliseconds old.
type Report struct {
	// StartedAt is when the server started, in Unix ms; 0: it does not say.
	StartedAt int64
	Versions  map[string]uint64
	Busy      bool
	Orders    uint64
	Running   int
	Queued    int
	KVUsed    int
	KVTotal   int
}

// PartChange is a store's word on one part that it keeps.
type PartChange struct {
	Salt, Part string
	// Dropped: it has given up the part, or some of its end.
	Dropped bool
}

// StoreChanges is what a store of kept cache took in and dropped, some 100 ms
// late; a few changes never show.
type StoreChanges struct {
	// Epoch changes when the store starts again, empty.
	Epoch uint64
	// Next is where the next question goes on. Lost: changes in between are gone.
	Next  uint64
	Lost  bool
	Parts []PartChange
}

// LoadOrder tells a backend server to take new weights.
type LoadOrder struct {
	Instance string
	Address  string
	Model    string
	Version  uint64
	// Mode of what happens to requests that run.
	Mode   LoadMode
	Holder string
	// Fence is the fencing number of the holder's lease.
	Fence uint64
	// Expected number of orders that the server accepted so far; negative: not checked.
	Expected int64
}

// LoadMode says what happens to requests that run when weights change.
type LoadMode int

// The modes.
const (
	// LoadAfterRunning: they finish first.
	LoadAfterRunning LoadMode = iota
	// LoadAbortRunning: they are reset.
	LoadAbortRunning
	// LoadKeepRunning: they go on under the new weights.
	LoadKeepRunning
)

// ErrBusy tells that a server is there but takes no more such calls for now.
var ErrBusy = errors.New("too many calls")

// ErrOtherInstance tells that another lifetime has the address of the one that was asked.
var ErrOtherInstance = errors.New("another instance has the address")

// OrderOutcome is what became of an order.
type OrderOutcome int

// The outcomes.
const (
	// OrderUnknown: no answer; it may be carried out at any later time.
	OrderUnknown OrderOutcome = iota
	// OrderAccepted: it is being carried out.
	OrderAccepted
	// OrderAlreadyLoaded already.
	OrderAlreadyLoaded
	// OrderBusy: another order is in progress, or the count differs.
	OrderBusy
	// OrderFenced: a higher fencing number was seen.
	OrderFenced
	// OrderInvalid: the server does not know such an order or version.
	OrderInvalid
	// OrderMisdirected: another instance has the address.
	OrderMisdirected
	// OrderNotSent: no connection was had.
	OrderNotSent
)

var outcomeNames = [...]string{"unknown", "accepted", "holds", "busy", "fenced", "invalid", "misdirected", "not_sent"}

// String is the word for logs.
func (o OrderOutcome) String() string { return outcomeNames[o] }
