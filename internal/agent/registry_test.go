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

// Guards against a refused resume whose cause is not known: the registry keeps why a response was
// discarded, also when later ones pushed it out.
func TestRegistryKeepsWhyAResponseWasDiscarded(t *testing.T) {
	const bytes = 100
	now := time.Now()
	r := newAttemptRegistry(bytes)
	for _, id := range []string{"pushed out", "delivered", "kept"} {
		require.Zero(t, r.add(newAttempt(t.Context(), &jayv1.Offer{RequestId: id, Attempt: 1}, 1024, now)))
		r.keep(attemptID(id, 1), bytes, now)
		if id == "delivered" {
			require.True(t, r.forget(attemptID(id, 1), discardRecord{discardDelivered, now}))
		}
	}
	require.False(t, r.forget(attemptID("pushed out", 1), discardRecord{discardUnread, now}))
	for id, want := range map[string]discardReason{"pushed out": discardSpace, "delivered": discardDelivered, "kept": ""} {
		why, ok := r.accepted(attemptID(id, 1))
		require.True(t, ok, id)
		assert.Equal(t, want, why.reason, id)
	}
}
