package relay

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/engine"
)

// Errors in the events of an engine.
var (
	// ErrEngineGap means that an event of the engine's stream is missing.
	ErrEngineGap = errors.New("event missing in the engine's stream")
	// ErrMixedOrigin means that a stream carries events of two engine incarnations, or of a model
	// version other than the expected one.
	ErrMixedOrigin = errors.New("stream mixes engine incarnations or model versions")
)

// Verdict is how to handle an event of an engine.
type Verdict int

// Verdicts of Origin.Check.
const (
	// Deliver: the event is the next one of this request.
	Deliver Verdict = iota + 1
	// DropOtherRequest: the event belongs to another request.
	DropOtherRequest
	// DropDuplicate: the event was received before.
	DropDuplicate
)

// Origin checks that each event of an engine's stream belongs to the expected request, engine
// incarnation and model version.
type Origin struct {
	requestID     string
	versionDigest string
	incarnation   uint64
	next          uint64
}

// NewOrigin returns an Origin for the request. With an empty digest the version of the first
// event becomes the expected one.
func NewOrigin(requestID, versionDigest string) *Origin {
	return &Origin{requestID: requestID, versionDigest: versionDigest}
}

// Incarnation returns the engine incarnation of the stream; 0 before the first event.
func (o *Origin) Incarnation() uint64 { return o.incarnation }

// VersionDigest returns the model version of the stream; empty while none is known.
func (o *Origin) VersionDigest() string { return o.versionDigest }

// Check validates an event. Engines may deliver events late, twice or on the stream of another
// request: events of other requests and duplicates are to be dropped. A missing event
// (ErrEngineGap) and a change of incarnation or version (ErrMixedOrigin) end the stream:
// forwarding later events would corrupt the response unnoticed.
func (o *Origin) Check(event engine.Event) (Verdict, error) {
	if event.RequestID != o.requestID {
		return DropOtherRequest, nil
	}
	if event.Index < o.next {
		return DropDuplicate, nil
	}
	if event.Index > o.next {
		return 0, eris.Wrapf(ErrEngineGap, "received event %d, expected %d", event.Index, o.next)
	}
	if err := o.checkSource(event); err != nil {
		return 0, err
	}
	o.next++
	return Deliver, nil
}

// checkSource returns ErrMixedOrigin if the event's incarnation or version differs from that of
// the stream. A restarted engine, or one with other weights, would continue with text that
// doesn't follow from what was sent.
func (o *Origin) checkSource(event engine.Event) error {
	if o.next == 0 {
		o.incarnation = event.Incarnation
		if o.versionDigest == "" {
			o.versionDigest = event.VersionDigest
		}
	}
	if event.Incarnation != o.incarnation {
		return eris.Wrapf(ErrMixedOrigin, "received incarnation %d, expected %d", event.Incarnation, o.incarnation)
	}
	if event.VersionDigest != o.versionDigest {
		return eris.Wrapf(ErrMixedOrigin, "received version %s, expected %s", event.VersionDigest, o.versionDigest)
	}
	return nil
}
