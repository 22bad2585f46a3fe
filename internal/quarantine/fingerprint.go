package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/zeebo/xxh3"
)

// headBytes of a fingerprint are a hash of all but the body's bytes.
const headBytes = 4

// Fingerprint identifies a request across the attempts of its caller, each of
// which has an ID of its own. It begins with the Head of the request's identity.
type Fingerprint [16]byte

// Head is the part of a fingerprint that is worked out without the body's bytes.
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

// Head hashes all but the body's bytes: a cheap look tells most requests from
// those that are suspected.
func (i *Identity) Head() Head {
	var hash xxh3.Hasher
	for _, field := range []string{i.Caller, i.Host, i.Method, i.Target} {
		writeSize(&hash, len(field))
		_, _ = hash.WriteString(field)
	}
	writeSize(&hash, len(i.Body))
	return Head(hash.Sum64())
}

// Fingerprint hashes the identity. Its hash is cryptographic, so that no caller
// can make a request that shares the fingerprint of another caller's.
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

// Hashes works out the hashes of one request when they are first needed, each
// once: hashing the body of each request would cost all for the sake of a few.
type Hashes struct {
	Identity    Identity
	head        *Head
	fingerprint *Fingerprint
}

// Head is that of the identity.
func (h *Hashes) Head() Head {
	if h.head == nil {
		head := h.Identity.Head()
		h.head = &head
	}
	return *h.head
}

// Fingerprint is that of the identity.
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

// String is the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint reads what String wrote.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	if len(text) != hex.EncodedLen(len(f)) {
		return f, fmt.Errorf("fingerprint %q has %d digits, not %d", text, len(text), hex.EncodedLen(len(f)))
	}
	if _, err := hex.Decode(f[:], []byte(text)); err != nil {
		return f, fmt.Errorf("fingerprint %q: %w", text, err)
	}
	return f, nil
}
