package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Guards against accepting an attempt after a shutdown has found no attempt to
// wait for; it would be interrupted.
func TestClosedRegistryAcceptsNoAttempt(t *testing.T) {
	r := newAttemptRegistry(1 << 20)
	late := newAttempt(t.Context(), &jayv1.Offer{RequestId: "late", Attempt: 1}, 1024, time.Now())
	r.close()
	require.NoError(t, r.waitEmpty(t.Context()))
	assert.Equal(t, jayv1.Refusal_REFUSAL_LEAVING, r.add(late))
	assert.Nil(t, r.get(late.id))
}
