package servicetime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/servicetime"
)

// Guards against a single slow request standing for all, and against requests of long ago.
func TestHighIsThatOfMostRecentRequests(t *testing.T) {
	l, now := servicetime.New(), time.Unix(1000, 0)
	assert.Zero(t, l.High(now, "book"))
	l.Add(now, "book", 9*time.Second)
	assert.Equal(t, 9*time.Second, l.High(now, "book"))
	for i := range 20 {
		l.Add(now.Add(time.Duration(i)*time.Millisecond), "book", time.Second+time.Duration(i)*time.Millisecond)
	}
	assert.Equal(t, time.Second+18*time.Millisecond, l.High(now.Add(time.Second), "book"))
	assert.Zero(t, l.High(now.Add(time.Second), "other"))
	assert.Zero(t, l.High(now.Add(time.Minute), "book"))
	l.Expire(now.Add(time.Minute))
	assert.Zero(t, l.High(now, "book"))
}
