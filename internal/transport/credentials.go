package transport

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// alpnProtocol names the protocol between processes of the system in the TLS handshake.
const alpnProtocol = "jay/1"

// Credentials holds a process's certificate, private key and trusted authority, read from a
// directory that may be updated while the process runs. Safe for concurrent use.
type Credentials struct {
	dir     string
	current atomic.Pointer[keyMaterial]
}

type keyMaterial struct {
	cert  tls.Certificate
	roots *x509.CertPool
	self  keys.Identity
}

// LoadCredentials reads ca.pem, cert.pem and key.pem from a directory.
func LoadCredentials(dir string) (*Credentials, error) {
	c := &Credentials{dir: dir}
	return c, c.Reload()
}

// Reload reads the directory again. On an error the previous credentials remain in use.
func (c *Credentials) Reload() error {
	pair, err := tls.LoadX509KeyPair(filepath.Join(c.dir, keys.CertFile), filepath.Join(c.dir, keys.KeyFile))
	if err != nil {
		return eris.Wrap(err, "load certificate and private key")
	}
	authority, err := os.ReadFile(filepath.Join(c.dir, keys.AuthorityFile))
	if err != nil {
		return eris.Wrap(err, "read authority certificate")
	}
	roots, err := parseRoots(authority)
	if err != nil {
		return eris.Wrapf(err, "authority file %s", keys.AuthorityFile)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return eris.Wrap(err, "parse certificate")
	}
	self, err := keys.IdentityOf(leaf)
	if err != nil {
		return err
	}
	c.current.Store(&keyMaterial{cert: pair, roots: roots, self: self})
	return nil
}

// parseRoots parses the certificates of an authority file. One that is cut off at its end is an
// error: x509.CertPool would skip it.
func parseRoots(text []byte) (*x509.CertPool, error) {
	roots := x509.NewCertPool()
	count := 0
	block, rest := pem.Decode(text)
	for ; block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "CERTIFICATE" {
			continue
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, eris.Wrapf(err, "parse certificate %d", count+1)
		}
		roots.AddCert(cert)
		count++
	}
	if count == 0 {
		return nil, eris.New("no PEM certificate")
	}
	if bytes.HasPrefix(rest, []byte("-")) || bytes.Contains(rest, []byte("\n-")) {
		return nil, eris.Errorf("certificate %d is cut off; the file may be half written", count+1)
	}
	return roots, nil
}

// Watch reloads the credentials every interval until the context ends. Errors, such as a
// directory that is just being written, are logged and the next interval tries again.
func (c *Credentials) Watch(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := c.Reload(); err != nil {
				klog.ErrorS(err, "Reloading credentials failed, keeping the previous ones", "folder", c.dir)
			}
		}
	}
}

// Self returns the identity in the process's certificate.
func (c *Credentials) Self() keys.Identity { return c.current.Load().self }

// ServerTLS returns a configuration that requires a client certificate which is issued by
// the authority and carries one of the roles.
func (c *Credentials) ServerTLS(protos []string, roles ...keys.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protos,
		// A resumed session could outlive a key change, and 0-RTT data can be replayed, which
		// would break the at-most-once handoff of requests.
		SessionTicketsDisabled: true,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.current.Load()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             protos,
				SessionTicketsDisabled: true,
				Certificates:           []tls.Certificate{m.cert},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              m.roots,
				VerifyConnection:       requireRole(roles),
			}, nil
		},
	}
}

// ClientTLS returns a configuration that accepts servers whose certificate is issued by the
// authority and carries one of the roles, whatever their address.
func (c *Credentials) ClientTLS(protos []string, roles ...keys.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protos,
		// VerifyConnection replaces the host name check: it verifies the chain against the
		// authority, and the role in the certificate's URI.
		InsecureSkipVerify: true, //nolint:gosec // verified in VerifyConnection
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current.Load().cert, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			options := x509.VerifyOptions{
				Roots:     c.current.Load().roots,
				KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
			}
			if _, err := state.PeerCertificates[0].Verify(options); err != nil {
				return eris.Wrap(err, "verify server certificate")
			}
			return requireRole(roles)(state)
		},
	}
}

func requireRole(roles []keys.Role) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		id, err := keys.IdentityOf(state.PeerCertificates[0])
		if err != nil {
			return err
		}
		for _, role := range roles {
			if id.Role == role {
				return nil
			}
		}
		return eris.Errorf("peer %s has a role that is not allowed, want one of %v", id, roles)
	}
}
