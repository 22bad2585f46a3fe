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

// dummyKey replaces an undeclared key, so that an unknown id takes the same code
// path, and time, as a wrong secret.
var dummyKey = &jayv1.ApiKey{Salt: make([]byte, sha256.Size), Hash: make([]byte, sha256.Size)}

// authenticate returns the workspace of the API key in the request's headers.
func authenticate(table *catalog.Table, header http.Header) (*jayv1.Workspace, *Error) {
	id, secret, ok := parseKey(header.Get("Authorization"))
	workspace, key := lookUpKey(table, id)
	matches := catalog.SecretMatches(key, secret)
	if !ok || workspace == nil || !matches {
		return nil, unauthorized()
	}
	return workspace, nil
}

// hasKey reports whether the headers carry a well-formed API key. Requests
// without one are refused without waiting for a configuration.
func hasKey(header http.Header) bool {
	_, _, ok := parseKey(header.Get("Authorization"))
	return ok
}

func unauthorized() *Error {
	return refuse(http.StatusUnauthorized, CodeInvalidKey, "the API key is missing or not valid")
}

func lookUpKey(table *catalog.Table, id string) (*jayv1.Workspace, *jayv1.ApiKey) {
	workspace, ok := table.WorkspaceOfKey(id)
	if !ok {
		return nil, dummyKey
	}
	for _, key := range workspace.GetKeys() {
		if key.GetId() == id {
			return workspace, key
		}
	}
	return nil, dummyKey
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
