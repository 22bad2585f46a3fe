package catalog

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/hex"
	"strings"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

const (
	callerKeyPrefix = "jay"
	keyIDBytes      = 6
	secretBytes     = 24
	saltBytes       = 16
)

// secretEncoding uses only letters and digits, which need no quoting in shells and
// URLs and do not include the separator of the key's parts.
var secretEncoding = base32.StdEncoding.WithPadding(base32.NoPadding)

// NewCallerKey makes a random key of a caller. plain has the form
// jay_<id>_<secret> and is not stored; key has the salted hash of the secret.
func NewCallerKey() (plain string, key *jayv1.ApiKey, err error) {
	random := make([]byte, keyIDBytes+secretBytes+saltBytes)
	if _, err := rand.Read(random); err != nil {
		return "", nil, eris.Wrap(err, "make caller key")
	}
	id := hex.EncodeToString(random[:keyIDBytes])
	secret := strings.ToLower(secretEncoding.EncodeToString(random[keyIDBytes : keyIDBytes+secretBytes]))
	salt := random[keyIDBytes+secretBytes:]
	return callerKeyPrefix + "_" + id + "_" + secret, &jayv1.ApiKey{Id: id, Salt: salt, Hash: HashSecret(salt, secret)}, nil
}

// ParseCallerKey splits a caller's key into id and secret.
func ParseCallerKey(plain string) (id, secret string, ok bool) {
	parts := strings.Split(plain, "_")
	const wanted = 3
	if len(parts) != wanted || parts[0] != callerKeyPrefix || parts[1] == "" || parts[2] == "" {
		return "", "", false
	}
	return parts[1], parts[2], true
}

// SecretMatches reports whether the secret is that of the key, in constant time.
func SecretMatches(key *jayv1.ApiKey, secret string) bool {
	return subtle.ConstantTimeCompare(key.GetHash(), HashSecret(key.GetSalt(), secret)) == 1
}

// HashSecret returns the hash of a secret in an ApiKey: SHA-256 of the salt
// followed by the secret.
func HashSecret(salt []byte, secret string) []byte {
	sum := sha256.Sum256(append(append([]byte{}, salt...), secret...))
	return sum[:]
}
