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

// secretEncoding has no character that a shell, URL or the key's own
// separator gives a meaning.
var secretEncoding = base32.StdEncoding.WithPadding(base32.NoPadding)

// NewCallerKey makes a caller's key jay_<id>_<secret>. The plain text is
// returned once and kept nowhere; the declaration holds the salted hash.
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

// ParseCallerKey parts a caller's key into id and secret.
func ParseCallerKey(plain string) (id, secret string, ok bool) {
	parts := strings.Split(plain, "_")
	const wanted = 3
	if len(parts) != wanted || parts[0] != callerKeyPrefix || parts[1] == "" || parts[2] == "" {
		return "", "", false
	}
	return parts[1], parts[2], true
}

// SecretMatches compares a secret with the hash of a key in constant time.
func SecretMatches(key *jayv1.ApiKey, secret string) bool {
	return subtle.ConstantTimeCompare(key.GetHash(), HashSecret(key.GetSalt(), secret)) == 1
}

// HashSecret is the hash that an ApiKey keeps of a secret: SHA-256 over salt
// and secret.
func HashSecret(salt []byte, secret string) []byte {
	sum := sha256.Sum256(append(append([]byte{}, salt...), secret...))
	return sum[:]
}
