package serverlimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/serverlimit"
)

func TestARestHoldsForItsTime(t *testing.T) {
	r := serverlimit.NewRests()
	assert.True(t, r.Empty())
	assert.Equal(t, 3*time.Second, r.Begin(at(0), id, 3*time.Second))
	assert.Equal(t, 2500*time.Millisecond, r.Begin(at(500), id, time.Second), "the longer one holds")
	assert.Equal(t, time.Millisecond, r.Left(at(2999), id))
	assert.Zero(t, r.Left(at(3000), id))
	assert.Zero(t, r.Left(at(0), id+1))
	assert.Len(t, r.Resting(at(0), 8), 1)
	r.Forget(id)
	assert.Zero(t, r.Left(at(0), id), "its incarnation has ended")
}

// Guards against all requests at once after a rest, and against a rest that a response to
// an earlier request ends.
func TestAfterARestAServerIsTriedFirst(t *testing.T) {
	r := serverlimit.NewRests()
	r.Begin(at(0), id, time.Second)
	assert.False(t, r.Took(id, at(-5)), "sent before the rest")
	assert.False(t, r.Took(id, at(400)), "sent within it")
	r.Sent(at(1000), id)
	assert.Equal(t, 240*time.Millisecond, r.Left(at(1010), id))
	assert.Zero(t, r.Left(at(1250), id), "the first brought no response yet")
	assert.True(t, r.Took(id, at(1000)))
	assert.Zero(t, r.Left(at(1010), id))
	assert.True(t, r.Empty())
}

func TestAnAbsurdRestIsBounded(t *testing.T) {
	r := serverlimit.NewRests()
	assert.Equal(t, 10*time.Minute, r.Begin(at(0), id, 1<<62))
	assert.Zero(t, r.Left(at(600_000), id))
}
