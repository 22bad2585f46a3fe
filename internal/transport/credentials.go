package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// nextProto names the protocol between the system's own processes.
const nextProto = "jay/1"

// Credentials are a process's certificate, key and trusted authority, read
// from a folder and replaced there without a restart.
type Credentials struct {
	dir     string
	current atomic.Pointer[material]
}

type material struct {
	cert  tls.Certificate
	roots *x509.CertPool
	self  keys.Identity
}

// LoadCredentials reads ca.pem, cert.pem and key.pem from a folder.
func LoadCredentials(dir string) (*Credentials, error) {
	c := &Credentials{dir: dir}
	return c, c.Reload()
}

// Reload reads the folder again. On an error the old credentials stay.
func (c *Credentials) Reload() error {
	pair, err := tls.LoadX509KeyPair(filepath.Join(c.dir, keys.CertFile), filepath.Join(c.dir, keys.KeyFile))
	if err != nil {
		return eris.Wrap(err, "load certificate and key")
	}
	authority, err := os.ReadFile(filepath.Join(c.dir, keys.AuthorityFile))
	if err != nil {
		return eris.Wrap(err, "read authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return eris.Errorf("no certificate in %s", keys.AuthorityFile)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return eris.Wrap(err, "parse certificate")
	}
	self, err := keys.IdentityOf(leaf)
	if err != nil {
		return err
	}
	c.current.Store(&material{cert: pair, roots: roots, self: self})
	return nil
}

// Watch reloads every interval until the context ends. A folder that does not
// read well, e.g. while it is being written, is logged and tried again.
func (c *Credentials) Watch(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := c.Reload(); err != nil {
				klog.ErrorS(err, "keep the old credentials", "folder", c.dir)
			}
		}
	}
}

// Self is the identity in the process's own certificate.
func (c *Credentials) Self() keys.Identity { return c.current.Load().self }

// ServerTLS asks for a client certificate of the authority with one of the roles.
func (c *Credentials) ServerTLS(protos []string, roles ...keys.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protos,
		// Tickets would let a session outlive a key change, and 0-RTT data can
		// be replayed: a hand-over of work that may run at most once must not.
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

// ClientTLS trusts a server of the authority that has one of the roles,
// whatever its address.
func (c *Credentials) ClientTLS(protos []string, roles ...keys.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protos,
		// The check by host name is replaced, not left out: VerifyConnection
		// verifies the chain against our authority and the role in the URI.
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
		return eris.Errorf("%s has the wrong role, want one of %v", id, roles)
	}
}
