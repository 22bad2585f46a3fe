package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/zeebo/xxh3"
)

// headBytes is the length of the head at the start of a fingerprint.
const headBytes = 4

// Fingerprint identifies what crashes are recorded against: a request across the
// caller's attempts, each of which has its own request ID, or a part of prompts. It
// starts with the Head of the request's identity.
type Fingerprint [16]byte

// Head is the part of a fingerprint that is computed without the body's bytes.
type Head uint32

// Identity is what all attempts of one request have in common.
type Identity struct {
	// Caller is the workspace; empty on routes without one.
	Caller string
	Host   string
	Method string
	// Target is the path with its query, as the caller sent it.
	Target string
	Body   []byte
}

// Head hashes everything but the body's bytes, including the body's length. It is
// a cheap check that rules out most requests that have no record.
func (i *Identity) Head() Head {
	var hash xxh3.Hasher
	for _, field := range []string{i.Caller, i.Host, i.Method, i.Target} {
		writeSize(&hash, len(field))
		_, _ = hash.WriteString(field)
	}
	writeSize(&hash, len(i.Body))
	head := Head(hash.Sum64())
	if head == PartHead {
		head++
	}
	return head
}

// Fingerprint hashes the identity. The hash is cryptographic, so that a caller
// cannot craft a request with the fingerprint of another caller's request.
func (i *Identity) Fingerprint() Fingerprint {
	hash := sha256.New()
	for _, field := range [][]byte{[]byte(i.Caller), []byte(i.Host), []byte(i.Method), []byte(i.Target), i.Body} {
		writeSize(hash, len(field))
		_, _ = hash.Write(field)
	}
	var f Fingerprint
	binary.BigEndian.PutUint32(f[:], uint32(i.Head()))
	copy(f[headBytes:], hash.Sum(nil))
	return f
}

// Hashes computes the hashes of one request on first use and caches them. Few
// requests need the hash of the body, so it is not computed in advance. Hashes is
// not safe for concurrent use.
type Hashes struct {
	Identity    Identity
	head        *Head
	fingerprint *Fingerprint
}

// Head returns the head of the identity.
func (h *Hashes) Head() Head {
	if h.head == nil {
		head := h.Identity.Head()
		h.head = &head
	}
	return *h.head
}

// Fingerprint returns the fingerprint of the identity.
func (h *Hashes) Fingerprint() Fingerprint {
	if h.fingerprint == nil {
		f := h.Identity.Fingerprint()
		h.fingerprint = &f
	}
	return *h.fingerprint
}

func writeSize(hash interface{ Write([]byte) (int, error) }, size int) {
	var bytes [8]byte
	binary.BigEndian.PutUint64(bytes[:], uint64(size)) //nolint:gosec // a length
	_, _ = hash.Write(bytes[:])
}

// Head returns the part that does not depend on the body's bytes.
func (f Fingerprint) Head() Head { return Head(binary.BigEndian.Uint32(f[:])) }

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the hexadecimal form that String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	if len(text) != hex.EncodedLen(len(f)) {
		return f, fmt.Errorf("fingerprint %q has %d characters, want %d hexadecimal digits", text, len(text), hex.EncodedLen(len(f)))
	}
	if _, err := hex.Decode(f[:], []byte(text)); err != nil {
		return f, fmt.Errorf("parse fingerprint %q: %w", text, err)
	}
	return f, nil
}
