package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
	"github.com/jayproxy/jayproxy/internal/quarantine"
)

// newPromptJob returns a request whose prompt has the given shared parts.
func newPromptJob(g *Gateway, id string, parts ...string) *job {
	j := &job{gateway: g}
	j.ctx = context.Background()
	j.head.ID = id
	for _, part := range append(parts, id) {
		j.head.Parts = append(j.head.Parts, call.Part{ID: part, Tokens: 10})
	}
	j.hashes.Identity = quarantine.Identity{Target: "/", Body: []byte(id)}
	return j
}

// crash records that servers crashed soon after they began to run the request.
func (j *job) crash(servers ...string) {
	for _, server := range servers {
		j.gateway.state.suspects.runInterrupted(time.Now(), server, j.subjects()...)
		j.gateway.state.suspects.serverCrashed(time.Now(), server)
	}
}

// Guards against holding a request for its last part, which is its own.
func TestOnlySharedPartsAreQuarantined(t *testing.T) {
	g := newTableEntry(platformtest.New(), "gw1")
	newPromptJob(g, "r1", "bad", "x").crash("a")
	newPromptJob(g, "r2", "y", "bad").crash("b")
	newPromptJob(g, "r3", "bad").crash("c")
	for _, parts := range [][]string{{"bad"}, {"z", "bad"}, {"bad", "z"}} {
		h := newPromptJob(g, "r4", parts...).checkQuarantine()
		require.NotNil(t, h, parts)
		assert.Equal(t, "bad", h.part)
		assert.Positive(t, h.retryAfter)
	}
	assert.Nil(t, newPromptJob(g, "bad", "z").checkQuarantine(), "the part is the last one")
	assert.Nil(t, newPromptJob(g, "r5", "x", "y").checkQuarantine())
}

// Guards against a part that stays quarantined at other entries, or at those that start,
// after a request with it has run.
func TestAWholeRunClearsAPartEverywhere(t *testing.T) {
	table := platformtest.New()
	one, two := newTableEntry(table, "gw1"), newTableEntry(table, "gw2")
	for _, server := range []string{"a", "b", "c"} {
		newPromptJob(one, "r"+server, "slandered").crash(server)
	}
	crashes, _ := one.state.suspects.takeUnsent(maxUnwrittenRows)
	for _, datagram := range crashDatagrams(crashes, nil) {
		two.datagrams.handle(datagram, nil)
	}
	require.True(t, one.writeSuspects(t.Context()))
	second := newPromptJob(two, "r2", "slandered")
	require.NotNil(t, second.checkQuarantine())
	second.succeeded = true
	second.settleSuspect()
	assert.Nil(t, newPromptJob(two, "r3", "slandered").checkQuarantine())
	_, cleared := two.state.suspects.takeUnsent(maxUnwrittenRows)
	for _, datagram := range crashDatagrams(nil, cleared) {
		one.datagrams.handle(datagram, nil)
	}
	assert.Nil(t, newPromptJob(one, "r4", "slandered").checkQuarantine())
	require.True(t, two.writeSuspects(t.Context()))
	starting := newTableEntry(table, "gw3")
	starting.loadSuspects(t)
	assert.Nil(t, newPromptJob(starting, "r5", "slandered").checkQuarantine())
}

// Guards against a trial of a request with two quarantined parts, which would not show
// which of them crashes servers.
func TestARequestWithTwoQuarantinedPartsIsNoTrial(t *testing.T) {
	g := newTableEntry(platformtest.New(), "gw1")
	for i, server := range []string{"a", "b", "c"} {
		newPromptJob(g, fmt.Sprint("r", i), "one", "two").crash(server)
	}
	deadline := time.Now().Add(5 * time.Second)
	tried := map[string]bool{}
	for len(tried) < 2 && time.Now().Before(deadline) {
		assert.NotNil(t, newPromptJob(g, "both", "one", "two").checkQuarantine())
		for _, part := range []string{"one", "two"} {
			if newPromptJob(g, "single", part).checkQuarantine() == nil {
				tried[part] = true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	assert.Len(t, tried, 2, "each part has its turn")
}

// Guards against a part that never gets a trial because prompts name it twice, and against
// a request that fills the records with its parts.
func TestPromptsWithRepeatedOrManyParts(t *testing.T) {
	g := newTableEntry(platformtest.New(), "gw1")
	for i, server := range []string{"a", "b", "c"} {
		newPromptJob(g, fmt.Sprint("r", i), "twice", "twice").crash(server)
	}
	assert.Len(t, newPromptJob(g, "another", "twice", "twice").suspectSubjects(), 1)
	var parts []string
	for n := range 1000 {
		parts = append(parts, fmt.Sprint("p", n))
	}
	newPromptJob(g, "many", parts...).crash("d")
	assert.Len(t, g.state.suspects.list(), 3+1+1+maxTrackedParts)
}
