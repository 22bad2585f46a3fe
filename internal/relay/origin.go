package relay

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/engine"
)

// Errors of what an engine delivers, to be tested with errors.Is.
var (
	// ErrEngineGap means that the engine left out an event.
	ErrEngineGap = errors.New("engine left out an event of the stream")
	// ErrMixedOrigin means that one stream carries events of two engine boots or of
	// other weights than asked for.
	ErrMixedOrigin = errors.New("stream mixes incarnations or versions")
)

// Verdict is what to do with an engine's event.
type Verdict int

// The verdicts.
const (
	// Deliver the event: it is the next one of this request.
	Deliver Verdict = iota + 1
	// DropOtherRequest: the event belongs to another request.
	DropOtherRequest
	// DropDuplicate: the event came before.
	DropDuplicate
)

// Origin checks that each event of an engine's stream belongs to the one
// request, boot and version that the stream was opened for.
type Origin struct {
	requestID     string
	versionDigest string
	incarnation   uint64
	next          uint64
}

// NewOrigin expects events of the request. An empty digest accepts the version
// of the first event and no other.
func NewOrigin(requestID, versionDigest string) *Origin {
	return &Origin{requestID: requestID, versionDigest: versionDigest}
}

// Incarnation that makes the stream; 0 before the first event.
func (o *Origin) Incarnation() uint64 { return o.incarnation }

// VersionDigest that makes the stream.
func (o *Origin) VersionDigest() string { return o.versionDigest }

// Check judges an event. An error ends the stream: what follows can't make
// it whole.
//
// An engine may deliver events late, twice or on another request's stream. A
// caller would see someone else's answer or a sentence twice. Events of other
// requests and events seen before are dropped. A missing one ends the stream,
// since a later event would be glued to an earlier one without a trace.
func (o *Origin) Check(event engine.Event) (Verdict, error) {
	if event.RequestID != o.requestID {
		return DropOtherRequest, nil
	}
	if event.Index < o.next {
		return DropDuplicate, nil
	}
	if event.Index > o.next {
		return 0, eris.Wrapf(ErrEngineGap, "event %d came, %d was due", event.Index, o.next)
	}
	if err := o.checkMaker(event); err != nil {
		return 0, err
	}
	o.next++
	return Deliver, nil
}

// checkMaker holds a stream to one boot and one version: an engine that
// crashed and came back, or that changed its weights, would go on with text
// that does not follow from what was sent.
func (o *Origin) checkMaker(event engine.Event) error {
	if o.next == 0 {
		o.incarnation = event.Incarnation
		if o.versionDigest == "" {
			o.versionDigest = event.VersionDigest
		}
	}
	if event.Incarnation != o.incarnation {
		return eris.Wrapf(ErrMixedOrigin, "incarnation %d after %d", event.Incarnation, o.incarnation)
	}
	if event.VersionDigest != o.versionDigest {
		return eris.Wrapf(ErrMixedOrigin, "version %s in a stream of %s", event.VersionDigest, o.versionDigest)
	}
	return nil
}
