package kvplan_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/kvplan"
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	rate     = 8000.0 // tokens per second
	perToken = 4.0    // bytes per token
)

func point(hash uint64, bytes uint32) *jayv1.PrefixPoint {
	return &jayv1.PrefixPoint{Hash: hash, Bytes: bytes}
}

func TestSavesTheDeepestPointThatIsUsedOften(t *testing.T) {
	p := kvplan.New()
	shared := point(2, 20_000)
	for i := range uint64(3) {
		chain := []*jayv1.PrefixPoint{point(1, 1024), shared, point(100+i, 22_000)}
		assert.Nil(t, p.PointToSave(epoch, chain, rate, perToken), "not used often enough yet")
		p.RecordUse(chain)
	}
	chain := []*jayv1.PrefixPoint{point(1, 1024), shared, point(200, 22_000)}
	assert.Equal(t, shared, p.PointToSave(epoch, chain, rate, perToken))
	p.MarkStored(epoch, shared)
	assert.Nil(t, p.PointToSave(epoch, chain, rate, perToken), "the store has it already")
	assert.Equal(t, shared, p.PointToSave(epoch.Add(time.Hour), chain, rate, perToken))
	assert.Nil(t, p.PointToSave(epoch, chain[:1], rate, perToken), "computing it takes less than minComputeTime")
}

func TestLooksUpOnlyPointsThatTakeLongToCompute(t *testing.T) {
	p := kvplan.New()
	chain := []*jayv1.PrefixPoint{point(1, 1024), point(2, 8000), point(3, 20_000)}
	assert.Equal(t, []*jayv1.PrefixPoint{chain[2], chain[1]}, p.Candidates(epoch, chain, 0, rate, perToken))
	assert.Empty(t, p.Candidates(epoch, chain, 19_000, rate, perToken))
	p.MarkAbsent(epoch, chain[2])
	assert.Equal(t, []*jayv1.PrefixPoint{chain[1]}, p.Candidates(epoch, chain, 0, rate, perToken))
	assert.Len(t, p.Candidates(epoch.Add(time.Minute), chain, 0, rate, perToken), 2)
	assert.Empty(t, p.Candidates(epoch, chain, 0, 0, perToken), "rate unknown")
}

func TestFetchesOnlyWhenCheaperThanComputing(t *testing.T) {
	p := kvplan.New()
	shared := point(2, 32_000) // takes 1 s to compute
	assert.True(t, p.WorthFetching(100e6, shared, 0, rate, perToken))
	assert.False(t, p.WorthFetching(100e6, shared, 30_000, rate, perToken))
	for range 50 { // a slow store
		p.RecordTransfer(10e6, time.Second)
	}
	assert.False(t, p.WorthFetching(100e6, shared, 0, rate, perToken))
	assert.True(t, p.WorthFetching(5e6, shared, 0, rate, perToken))
}

// Guards against giving up on the store after a time that is small against what it saves, and
// against waiting for a slow store as long as computing takes.
func TestLookupTakesAShareOfTheSavedTime(t *testing.T) {
	const tokensPerSecond, bytesPerToken = 1000, 4
	for _, tt := range []struct {
		bytes, cached int
		want          time.Duration
	}{
		{800, 0, 100 * time.Millisecond},
		{1600, 800, 100 * time.Millisecond},
		{40, 0, 50 * time.Millisecond},
		{1 << 20, 0, 400 * time.Millisecond},
	} {
		candidates := []*jayv1.PrefixPoint{point(1, uint32(tt.bytes)), point(2, 8)}
		assert.Equal(t, tt.want, kvplan.LookupTimeout(candidates, tt.cached, tokensPerSecond, bytesPerToken), "%+v", tt)
	}
	assert.Equal(t, 50*time.Millisecond, kvplan.LookupTimeout(nil, 0, tokensPerSecond, bytesPerToken))
}
