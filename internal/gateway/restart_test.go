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
	"github.com/jayproxy/jayproxy/internal/streamorigin"
	"github.com/jayproxy/jayproxy/internal/weights"
)

// restartFixture is the state of an entry that knows one engine.
type restartFixture struct {
	*state
	closedAddresses []string
	service         *routetable.Service
}

func newRestartFixture() *restartFixture {
	fixture := &restartFixture{service: &routetable.Service{Name: "engines", Engine: &routetable.Engine{Slots: 8, KVCapacityTokens: 100000}}}
	settings := Settings{Node: "gw1", DataCentre: "a", LeaseTime: 3 * time.Second, VersionBound: 10 * time.Second}
	fixture.state = newState(settings, func(address string) { fixture.closedAddresses = append(fixture.closedAddresses, address) })
	return fixture
}

// engine returns the engine's registration for the incarnation that started at
// startedMS.
func engine(startedMS int64) *fleet.Backend {
	return &fleet.Backend{
		Incarnation: fleet.Incarnation{Instance: "e1", StartedMS: startedMS}, Service: "engines", Address: "10.0.0.1:1", Slots: 8,
		Versions: map[string]uint64{"m": 1},
	}
}

func (fixture *restartFixture) choose(t *testing.T, now time.Time, id string) routing.DirectChoice {
	t.Helper()
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	request := &routing.DirectRequest{ID: id, Prefix: []call.Part{{ID: "aa", Tokens: 4000}}, Tokens: 5000, OutputTokens: 100}
	choice, err := fixture.router.Choose(now, request, fixture.candidatesLocked(now, fixture.service, "m"), nil)
	require.NoError(t, err)
	return choice
}

// When an engine restarts under the same name, the cached prefixes, connections
// and failures of its previous incarnation must not count for the new one.
func TestRestartResetsStateOfPreviousIncarnation(t *testing.T) {
	fixture := newRestartFixture()
	now := time.Unix(1000, 0)
	fixture.putBackend(now, engine(1000))
	first := fixture.choose(t, now, "r1")
	fixture.router.FirstToken(now, "r1")
	require.Equal(t, routing.SourceHeld, fixture.choose(t, now, "r2").Source)
	fixture.announceSwitch(first.Server.ID, 2, now.Add(time.Minute))
	fixture.incarnationEnded(now, first.Server.ID, "test")
	for range 20 {
		fixture.sendFailed(now, first.Server.ID, errors.New("reset"))
	}
	require.Less(t, fixture.members.Weight(first.Server.ID), 1.0)

	fixture.putBackend(now.Add(time.Second), engine(2000))
	next := fixture.choose(t, now.Add(time.Second), "r3")
	assert.NotEqual(t, first.Server.ID, next.Server.ID)
	assert.Equal(t, "e1", next.Server.Instance)
	assert.NotEqual(t, routing.SourceHeld, next.Source, "a new incarnation holds no prefixes")
	assert.False(t, next.Server.Switching)
	assert.InDelta(t, 1, next.Server.Weight, 0)
	assert.Equal(t, 1, fixture.router.Running(next.Server.ID), "requests at the previous incarnation are not counted")
	assert.Equal(t, []string{"10.0.0.1:1"}, fixture.closedAddresses)
}

// Updates about the previous incarnation that arrive after a restart must not
// count for the new one.
func TestLateUpdatesOfPreviousIncarnationAreIgnored(t *testing.T) {
	fixture := newRestartFixture()
	now := time.Unix(1000, 0)
	fixture.putBackend(now, engine(1000))
	first := fixture.choose(t, now, "r1").Server.ID
	fixture.putBackend(now, engine(2000))
	next := fixture.list.Named("e1").ID

	fixture.router.FirstToken(now, "r1")
	fixture.router.Finished(now, "r1", true)
	fixture.observeVersion(first, "m", 7, "entry")
	fixture.observeResponse(now, now, first, "m", &call.ResponseHead{HasLoad: true, Load: call.Load{Running: 90}, Version: 7})
	assert.False(t, fixture.reportIsCurrent(now, first, &call.Report{StartedMS: 1000}), "report requested from an ended incarnation")
	assert.False(t, fixture.reportIsCurrent(now, next, &call.Report{StartedMS: 1000}), "report sent by an ended incarnation")
	assert.True(t, fixture.reportIsCurrent(now, next, &call.Report{StartedMS: 2000}))
	assert.True(t, fixture.reportIsCurrent(now, next, &call.Report{}), "reports without a start time are accepted")

	assert.Equal(t, uint64(1), fixture.versionOf(next, "m"))
	assert.NotEqual(t, routing.SourceHeld, fixture.choose(t, now, "r2").Source)
	byHash := fixture.list.ByHash(nameHash)
	assert.Nil(t, byHash[nameHash(first)], "hints identify the incarnation")
	assert.NotNil(t, byHash[nameHash(next)])
}

// The server list shows a restart one heartbeat late; the engine's own report
// may show it first.
func TestReportRevealsRestartBeforeServerList(t *testing.T) {
	fixture := newRestartFixture()
	now := time.Unix(1000, 0)
	fixture.putBackend(now, engine(1000))
	first := fixture.list.Named("e1").ID
	assert.False(t, fixture.reportIsCurrent(now, first, &call.Report{StartedMS: 2000, Versions: map[string]uint64{"m": 1}}))
	require.Nil(t, fixture.list.Get(first))
	second := fixture.list.Named("e1").ID
	fixture.putBackend(now, engine(1000))
	assert.Equal(t, second, fixture.list.Named("e1").ID, "an older registration does not restore the previous incarnation")
	fixture.putBackend(now, engine(2000))
	assert.Equal(t, second, fixture.list.Named("e1").ID)
}

// An order that another lease holder gave an engine must delay this entry's
// orders even if the engine restarts: otherwise both would order it in turns.
func TestOrderOfAnotherLeaseHolderSurvivesRestart(t *testing.T) {
	fixture := newRestartFixture()
	fixture.table.Store(routetable.New(1, routetable.Limits{}, nil, []routetable.Service{*fixture.service}, nil))
	now := time.Unix(1000, 0)
	fixture.putBackend(now, engine(1000))
	fixture.setTarget(now, weights.Target{Model: "m", Version: 1}, "test")
	fixture.setTarget(now, weights.Target{Model: "m", Version: 2}, "test")
	fixture.recordOrder(now, fixture.list.Named("e1").ID)
	fixture.putBackend(now, engine(2000))
	assert.Empty(t, fixture.rollingModels(now.Add(time.Second))[0].Servers)
	assert.Len(t, fixture.rollingModels(now.Add(4 * time.Second))[0].Servers, 1)
}

// Guards against a server that started again under its name, perhaps at another version of its
// software, and goes on with a stream as the one before.
func TestARestartedServerHasAnUnknownSoftwareVersion(t *testing.T) {
	const takeUp = time.Minute
	now := time.Unix(1_000_000, 0)
	s := newState(Settings{Node: "gw1", Bootstrap: true}, func(string) {})
	only := func(at time.Time) streamorigin.Version {
		s.observeServiceLocked(at, "s")
		version, _ := s.software["s"].Only(at, takeUp)
		return version
	}
	row := &fleet.Backend{Incarnation: fleet.Incarnation{Instance: "i-1", StartedMS: 1000}, Service: "s", Address: "10.0.0.1:80", Software: "v1"}
	s.putBackend(now, row)
	assert.Equal(t, streamorigin.VersionOf("s", "v1"), only(now))
	s.reportIsCurrent(now, s.list.OfService("s")[0].ID, &call.Report{StartedMS: 2000})
	assert.Zero(t, only(now))
	s.putBackend(now, &fleet.Backend{Incarnation: fleet.Incarnation{Instance: "i-1", StartedMS: 2000}, Service: "s", Address: "10.0.0.1:80", Software: "v2"})
	assert.Zero(t, only(now), "a stream of the version before may still be taken up")
	assert.Equal(t, streamorigin.VersionOf("s", "v2"), only(now.Add(takeUp)), "it has registered again")
}
