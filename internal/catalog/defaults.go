package catalog

import (
	"strings"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Defaults of settings that a pool does not declare; see catalog.proto.
const (
	DefaultBytesPerToken = 4
	DefaultSharedLevel   = 2
)

// BytesPerToken returns the estimated bytes of text per token of the pool's
// model. A nil pool has the default.
func BytesPerToken(pool *jayv1.Pool) float64 {
	if declared := pool.GetBytesPerToken(); declared > 0 {
		return declared
	}
	return DefaultBytesPerToken
}

// SharedLevel returns the number of leading message boundaries up to which many,
// but not all, of the pool's requests have the same prompt. A nil pool has the
// default.
func SharedLevel(pool *jayv1.Pool) int {
	if declared := pool.GetSharedLevel(); declared > 0 {
		return int(declared)
	}
	return DefaultSharedLevel
}

// ClassName returns the name of a class as used in declarations and metrics, for
// example "interactive".
func ClassName(class jayv1.Class) string {
	return strings.ToLower(strings.TrimPrefix(class.String(), "CLASS_"))
}
