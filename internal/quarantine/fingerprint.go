// Package quarantine decides which requests are kept from backend servers
// because servers crashed while they ran them. It has no I/O, goroutine or
// clock; callers lock.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Fingerprint identifies a request across the attempts of its caller, each of
// which has an ID of its own.
type Fingerprint [16]byte

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

// Fingerprint hashes the identity. The hash is cryptographic, so that no caller
// can make a request that shares the fingerprint of another caller's.
func (i *Identity) Fingerprint() Fingerprint {
	hash := sha256.New()
	var size [8]byte
	for _, field := range [][]byte{[]byte(i.Caller), []byte(i.Host), []byte(i.Method), []byte(i.Target), i.Body} {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		hash.Write(size[:])
		hash.Write(field)
	}
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

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
