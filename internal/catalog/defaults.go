package catalog

import (
	"strings"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// What a pool that declares nothing of it is read as; see catalog.proto.
const (
	DefaultBytesPerToken = 4
	DefaultSharedLevel   = 2
)

// BytesPerToken is the estimated text in a token of the pool; the default also
// for a nil pool.
func BytesPerToken(pool *jayv1.Pool) float64 {
	if declared := pool.GetBytesPerToken(); declared > 0 {
		return declared
	}
	return DefaultBytesPerToken
}

// SharedLevel is the message boundary that many of the pool's requests share
// but not all; the default also for a nil pool.
func SharedLevel(pool *jayv1.Pool) int {
	if declared := pool.GetSharedLevel(); declared > 0 {
		return int(declared)
	}
	return DefaultSharedLevel
}

// ClassName is a class as declarations and metrics write it: "interactive".
func ClassName(class jayv1.Class) string {
	return strings.ToLower(strings.TrimPrefix(class.String(), "CLASS_"))
}
