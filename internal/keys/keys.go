// Package keys creates a certificate authority (CA) for development and issues the
// certificates of processes and operators. A certificate contains one role and one
// name as a URI, jay://<role>/<name>. It contains no address, because processes
// connect by IP address and VMs are replaced.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// Role is the role of a certificate's holder. It determines what the holder may
// do.
type Role string

// The roles in certificates.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleViewer   Role = "viewer"
	RoleOperator Role = "operator"
)

// ParseRole returns the role with the name, or an error that lists all roles.
func ParseRole(name string) (Role, error) {
	for _, role := range []Role{RoleEntry, RoleAgent, RoleViewer, RoleOperator} {
		if string(role) == name {
			return role, nil
		}
	}
	return "", eris.Errorf("unknown role %q, want entry, agent, viewer or operator", name)
}

// Identity is the identity of a certificate's holder.
type Identity struct {
	Role Role
	Name string
}

// String returns the identity as the URI in the certificate.
func (i Identity) String() string { return scheme + "://" + string(i.Role) + "/" + i.Name }

// IdentityOf returns the identity in a certificate, which the caller must have
// verified.
func IdentityOf(cert *x509.Certificate) (Identity, error) {
	for _, uri := range cert.URIs {
		if uri.Scheme != scheme || len(uri.Path) < 2 {
			continue
		}
		role, err := ParseRole(uri.Host)
		if err != nil {
			return Identity{}, err
		}
		return Identity{Role: role, Name: uri.Path[1:]}, nil
	}
	return Identity{}, eris.New("certificate contains no jay:// URI")
}

const (
	scheme = "jay"
	// clockSkew is the tolerated difference between clocks. Certificates become
	// valid this long before they are issued.
	clockSkew = 10 * time.Minute
)

// The names of the files in a folder of keys.
const (
	AuthorityFile    = "ca.pem"
	AuthorityKeyFile = "ca-key.pem"
	CertFile         = "cert.pem"
	KeyFile          = "key.pem"
)

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority creates an authority whose certificate is valid for the duration.
func NewAuthority(valid time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate CA key")
	}
	template, err := newTemplate("jayproxy development authority", valid)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "sign CA certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "parse new CA certificate")
	}
	return &Authority{cert: cert, key: key, pem: encodeCert(der)}, nil
}

// Certificate is an issued certificate with its private key and the certificate of
// the authority, all in PEM.
type Certificate struct {
	Authority []byte
	Cert      []byte
	Key       []byte
}

// Issue creates a key and a certificate for the identity, valid for the duration.
func (a *Authority) Issue(id Identity, valid time.Duration) (Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Certificate{}, eris.Wrap(err, "generate key")
	}
	template, err := newTemplate(id.Name, valid)
	if err != nil {
		return Certificate{}, err
	}
	template.URIs = []*url.URL{{Scheme: scheme, Host: string(id.Role), Path: "/" + id.Name}}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Certificate{}, eris.Wrapf(err, "sign certificate for %s", id)
	}
	keyPEM, err := encodeKey(key)
	if err != nil {
		return Certificate{}, err
	}
	return Certificate{Authority: a.pem, Cert: encodeCert(der), Key: keyPEM}, nil
}

// Save writes the authority's certificate and private key to a folder.
func (a *Authority) Save(dir string) error {
	keyPEM, err := encodeKey(a.key)
	if err != nil {
		return err
	}
	return writeAll(dir, map[string][]byte{AuthorityFile: a.pem, AuthorityKeyFile: keyPEM})
}

// LoadAuthority reads an authority written by Authority.Save.
func LoadAuthority(dir string) (*Authority, error) {
	certPEM, err := os.ReadFile(filepath.Join(dir, AuthorityFile))
	if err != nil {
		return nil, eris.Wrap(err, "read CA certificate")
	}
	keyPEM, err := os.ReadFile(filepath.Join(dir, AuthorityKeyFile))
	if err != nil {
		return nil, eris.Wrap(err, "read CA key")
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, eris.Errorf("CA certificate or key in %s is not PEM", dir)
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, eris.Wrap(err, "parse CA certificate")
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, eris.Wrap(err, "parse CA key")
	}
	return &Authority{cert: cert, key: key, pem: certPEM}, nil
}

// Save writes the certificates and the key to a folder, under the file names that
// processes read.
func (c Certificate) Save(dir string) error {
	return writeAll(dir, map[string][]byte{AuthorityFile: c.Authority, CertFile: c.Cert, KeyFile: c.Key})
}

// writeAll replaces each file atomically, so that a process that reloads its keys
// never reads a partly written one.
func writeAll(dir string, files map[string][]byte) error {
	const ownerOnly = 0o700
	if err := os.MkdirAll(dir, ownerOnly); err != nil {
		return eris.Wrapf(err, "create folder %s", dir)
	}
	for name, body := range files {
		temporary := filepath.Join(dir, "."+name+".new")
		if err := os.WriteFile(temporary, body, 0o600); err != nil {
			return eris.Wrapf(err, "write %s", name)
		}
		if err := os.Rename(temporary, filepath.Join(dir, name)); err != nil {
			return eris.Wrapf(err, "replace %s", name)
		}
	}
	return nil
}

func newTemplate(name string, valid time.Duration) (*x509.Certificate, error) {
	const serialBits = 120
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(valid),
	}, nil
}

func encodeCert(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, eris.Wrap(err, "encode key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), nil
}
