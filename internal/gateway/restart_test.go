package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/weights"
)

// restartSite is what one entry believes of one engine.
type restartSite struct {
	*state
	closed  []string
	service *routetable.Service
}

func newRestartSite() *restartSite {
	site := &restartSite{service: &routetable.Service{Name: "engines", Engine: &routetable.Engine{Slots: 8, KVCapacityTokens: 100000}}}
	settings := Settings{Node: "gw1", DataCentre: "a", LeaseTime: 3 * time.Second, VersionBound: 10 * time.Second}
	site.state = newState(settings, func(address string) { site.closed = append(site.closed, address) })
	return site
}

// engine is the entry of the engine's run that was born then.
func engine(born int64) *fleet.Backend {
	return &fleet.Backend{
		Lifetime: fleet.Lifetime{Instance: "e1", Born: born}, Service: "engines", Address: "10.0.0.1:1", Slots: 8,
		Versions: map[string]uint64{"m": 1},
	}
}

func (site *restartSite) choose(t *testing.T, now time.Time, id string) routing.DirectChoice {
	t.Helper()
	site.mu.Lock()
	defer site.mu.Unlock()
	request := &routing.DirectRequest{ID: id, Prefix: []call.Part{{ID: "aa", Tokens: 4000}}, Tokens: 5000, OutputTokens: 100}
	choice, err := site.router.Choose(now, request, site.candidatesLocked(now, site.service, "m"), nil)
	require.NoError(t, err)
	return choice
}

// An engine started again under its name. Entries took its memory for full of
// prefixes, kept sending on connections of the run before, and passed it over
// for what that run had failed.
func TestARestartMakesAllBeliefsOfTheRunBeforeVoid(t *testing.T) {
	site := newRestartSite()
	now := time.Unix(1000, 0)
	site.putBackend(now, engine(1000))
	first := site.choose(t, now, "r1")
	site.router.FirstToken(now, "r1")
	require.Equal(t, routing.SourceHeld, site.choose(t, now, "r2").Source)
	site.announceSwitch(first.Server.ID, 2, now.Add(time.Minute))
	site.incarnationEnded(now, first.Server.ID, "test")
	for range 20 {
		site.sendFailed(now, first.Server.ID, errors.New("reset"))
	}
	require.Less(t, site.members.Weight(first.Server.ID), 1.0)

	site.putBackend(now.Add(time.Second), engine(2000))
	next := site.choose(t, now.Add(time.Second), "r3")
	assert.NotEqual(t, first.Server.ID, next.Server.ID)
	assert.Equal(t, "e1", next.Server.Instance)
	assert.NotEqual(t, routing.SourceHeld, next.Source, "it holds nothing")
	assert.False(t, next.Server.Switching)
	assert.InDelta(t, 1, next.Server.Weight, 0)
	assert.Equal(t, 1, site.router.Running(next.Server.ID), "what was under way went with the run before")
	assert.Equal(t, []string{"10.0.0.1:1"}, site.closed)
}

// Words about the run before arrive after the restart: its requests end, other
// entries tell of its weights, its report comes late. None may count for the new run.
func TestLateWordsOfTheRunBeforeCountForNothing(t *testing.T) {
	site := newRestartSite()
	now := time.Unix(1000, 0)
	site.putBackend(now, engine(1000))
	first := site.choose(t, now, "r1").Server.ID
	site.putBackend(now, engine(2000))
	next := site.list.Named("e1").ID

	site.router.FirstToken(now, "r1")
	site.router.Finished(now, "r1", true)
	site.observeVersion(first, "m", 7, "entry")
	site.observeAnswer(now, first, "m", &call.Answer{HasLoad: true, Load: call.Load{Running: 90}, Version: 7})
	assert.False(t, site.reportIsCurrent(now, first, &call.Report{Born: 1000}), "asked of a run that is over")
	assert.False(t, site.reportIsCurrent(now, next, &call.Report{Born: 1000}), "told by a run that is over")
	assert.True(t, site.reportIsCurrent(now, next, &call.Report{Born: 2000}))
	assert.True(t, site.reportIsCurrent(now, next, &call.Report{}), "not every report tells")

	assert.Equal(t, uint64(1), site.versionOf(next, "m"))
	assert.NotEqual(t, routing.SourceHeld, site.choose(t, now, "r2").Source)
	byHash := site.list.ByHash(nameHash)
	assert.Nil(t, byHash[nameHash(first)], "hints name the run that they are about")
	assert.NotNil(t, byHash[nameHash(next)])
}

// The list lags a restart by a heartbeat. An engine that is asked for its state
// tells of the restart itself.
func TestAReportShowsARestartBeforeTheListDoes(t *testing.T) {
	site := newRestartSite()
	now := time.Unix(1000, 0)
	site.putBackend(now, engine(1000))
	first := site.list.Named("e1").ID
	assert.False(t, site.reportIsCurrent(now, first, &call.Report{Born: 2000, Versions: map[string]uint64{"m": 1}}))
	require.Nil(t, site.list.Get(first))
	second := site.list.Named("e1").ID
	site.putBackend(now, engine(1000))
	assert.Equal(t, second, site.list.Named("e1").ID, "the list's older word does not bring it back")
	site.putBackend(now, engine(2000))
	assert.Equal(t, second, site.list.Named("e1").ID)
}

// Two entries gave orders to one engine by turns: the second had heard of the
// first one's order, but the engine had started again in between.
func TestAnOrderOfAnotherHolderOutlivesARestart(t *testing.T) {
	site := newRestartSite()
	site.table.Store(routetable.New(1, routetable.Limits{}, nil, []routetable.Service{*site.service}, nil))
	now := time.Unix(1000, 0)
	site.putBackend(now, engine(1000))
	site.nameVersion(now, weights.Named{Model: "m", Version: 1}, "test")
	site.nameVersion(now, weights.Named{Model: "m", Version: 2}, "test")
	site.recordOrder(now, site.list.Named("e1").ID)
	site.putBackend(now, engine(2000))
	assert.Empty(t, site.rollingModels(now.Add(time.Second))[0].servers)
	assert.Len(t, site.rollingModels(now.Add(4 * time.Second))[0].servers, 1)
}
