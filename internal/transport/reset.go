package transport

import (
	"crypto/sha256"
	"crypto/x509"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// resetLabel keeps the reset key apart from other uses of the private key.
const resetLabel = "jay stateless reset 1"

// resetKey derives the key of stateless resets from the process's private key.
//
// A process that was killed and started again at its address knows nothing of
// its old connections. Its peers would go on sending into them until they idle
// out, and every offer would wait for its timeout meanwhile. With the same key
// as before the restart the process answers the first such packet with a reset
// that the peer can verify, and the peer dials anew.
func (c *Credentials) resetKey() (*quic.StatelessResetKey, error) {
	encoded, err := x509.MarshalPKCS8PrivateKey(c.current.Load().cert.PrivateKey)
	if err != nil {
		return nil, eris.Wrap(err, "encode private key")
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte(resetLabel), encoded...)))
	return &key, nil
}
