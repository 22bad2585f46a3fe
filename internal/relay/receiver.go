package relay

import (
	"crypto/subtle"
	"errors"
)

// Errors of the receiver.
var (
	// ErrGap means that a chunk is missing: the stream can only continue after a resume.
	ErrGap = errors.New("chunk missing in the stream")
	// ErrCount means that the number of chunks received differs from the number sent.
	ErrCount = errors.New("stream ended with the wrong number of chunks")
)

// Receiver checks the order of one response's chunks. The zero value expects chunk 0.
type Receiver struct {
	next uint64
}

// ReceiverAt returns a Receiver that expects chunk next, for a response that another receiver
// started to read.
func ReceiverAt(next uint64) Receiver { return Receiver{next: next} }

// Accept reports whether the chunk with number seq is the next one and must be forwarded. False
// without an error means a duplicate, to be dropped. ErrGap means that an earlier chunk is
// missing; a new link may resume at Next.
func (r *Receiver) Accept(seq uint64) (bool, error) {
	switch {
	case seq < r.next:
		return false, nil
	case seq > r.next:
		return false, ErrGap
	}
	r.next++
	return true, nil
}

// Next returns the number of the next expected chunk.
func (r *Receiver) Next() uint64 { return r.next }

// End returns ErrCount unless exactly count chunks were accepted. It detects a lost tail, without
// which a truncated response would look complete.
func (r *Receiver) End(count uint64) error {
	if r.next != count {
		return ErrCount
	}
	return nil
}

// Claim authorizes the resume of a stream: it must match the claim of the original request.
type Claim struct {
	Workspace string
	Nonce     []byte
}

// Matches reports whether both claims are equal. The nonce is compared in constant time, and an
// empty nonce never matches: neither a guess nor a claim of another workspace gives access to
// the stream.
func (c Claim) Matches(other Claim) bool {
	sameNonce := subtle.ConstantTimeCompare(c.Nonce, other.Nonce) == 1
	return len(c.Nonce) > 0 && sameNonce && c.Workspace == other.Workspace
}
