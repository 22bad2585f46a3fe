package transport

import (
	"crypto/sha256"
	"crypto/x509"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// resetLabel separates the reset key from other uses of the private key.
const resetLabel = "jay stateless reset 1"

// resetKey derives the key for QUIC stateless resets from the process's private key, so that it
// is the same after a restart. A restarted process answers packets of its earlier connections
// with resets that peers can verify, and the peers dial again. Without it, peers would keep
// using an old connection, and offers on it time out, until IdleTimeout has passed.
func (c *Credentials) resetKey() (*quic.StatelessResetKey, error) {
	encoded, err := x509.MarshalPKCS8PrivateKey(c.current.Load().cert.PrivateKey)
	if err != nil {
		return nil, eris.Wrap(err, "encode private key")
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte(resetLabel), encoded...)))
	return &key, nil
}
