package entry

import (
	"crypto/sha256"
	"net/http"
	"strings"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
)

const (
	bearerScheme = "Bearer "
	keyPrefix    = "jay_"
)

// absentKey stands in for a key id that nobody declared, so that an unknown id
// takes the same path, and time, as a wrong secret.
var absentKey = &jayv1.ApiKey{Salt: make([]byte, sha256.Size), Hash: make([]byte, sha256.Size)}

// authenticate returns the workspace whose key the request shows.
func authenticate(table *catalog.Table, header http.Header) (*jayv1.Workspace, *Error) {
	id, secret, ok := parseKey(header.Get("Authorization"))
	workspace, key := lookUpKey(table, id)
	same := catalog.SecretMatches(key, secret)
	if !ok || workspace == nil || !same {
		return nil, unauthorized()
	}
	return workspace, nil
}

// showsKey tells whether the request shows anything that may be a key. What
// does not is refused whatever the configuration will say.
func showsKey(header http.Header) bool {
	_, _, ok := parseKey(header.Get("Authorization"))
	return ok
}

func unauthorized() *Error {
	return refuse(http.StatusUnauthorized, CodeInvalidKey, "the API key is missing or not valid")
}

func lookUpKey(table *catalog.Table, id string) (*jayv1.Workspace, *jayv1.ApiKey) {
	workspace, ok := table.WorkspaceOfKey(id)
	if !ok {
		return nil, absentKey
	}
	for _, key := range workspace.GetKeys() {
		if key.GetId() == id {
			return workspace, key
		}
	}
	return nil, absentKey
}

// parseKey splits "Bearer jay_<id>_<secret>".
func parseKey(authorization string) (id, secret string, ok bool) {
	key, ok := strings.CutPrefix(authorization, bearerScheme)
	if !ok {
		return "", "", false
	}
	key, ok = strings.CutPrefix(strings.TrimSpace(key), keyPrefix)
	if !ok {
		return "", "", false
	}
	id, secret, ok = strings.Cut(key, "_")
	return id, secret, ok && id != "" && secret != ""
}
