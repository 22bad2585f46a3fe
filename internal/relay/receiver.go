package relay

import (
	"crypto/subtle"
	"errors"
)

// Errors of the receiving side, to be tested with errors.Is.
var (
	// ErrGap means that a chunk is missing: the stream cannot be made whole on this link.
	ErrGap = errors.New("chunk missing in the stream")
	// ErrCount means that the stream ended with fewer or more chunks than were sent.
	ErrCount = errors.New("stream ended with the wrong number of chunks")
)

// Receiver checks the order of one answer's chunks. The zero value expects chunk 0.
type Receiver struct {
	next uint64
}

// ReceiverAt expects the chunk with the number first: an answer that another
// receiver began.
func ReceiverAt(next uint64) Receiver { return Receiver{next: next} }

// Accept judges the chunk with the number. True: it is the next one, pass it
// on. False without an error: it came before and is dropped. ErrGap: one is
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

// Next is the number of the first chunk that is still wanted.
func (r *Receiver) Next() uint64 { return r.next }

// End checks that a stream of count chunks is complete. It guards against a
// tail that was lost: without the count a shortened answer looks whole.
func (r *Receiver) End(count uint64) error {
	if r.next != count {
		return ErrCount
	}
	return nil
}

// Claim is what whoever resumes a stream must show.
type Claim struct {
	Workspace string
	Nonce     []byte
}

// Matches tells whether the other claim is the same. The nonce is compared in
// constant time, and an empty one matches nothing: a guess or a stream of
// another workspace must not open an answer.
func (c Claim) Matches(other Claim) bool {
	sameNonce := subtle.ConstantTimeCompare(c.Nonce, other.Nonce) == 1
	return len(c.Nonce) > 0 && sameNonce && c.Workspace == other.Workspace
}
