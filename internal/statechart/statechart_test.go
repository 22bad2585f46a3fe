package statechart_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/charts"
	"github.com/jayproxy/jayproxy/internal/findings"
	"github.com/jayproxy/jayproxy/internal/statechart"
)

func TestEmbeddedChartsAreValid(t *testing.T) {
	loaded, err := charts.All()
	require.NoError(t, err)
	require.NotEmpty(t, loaded)
}

func TestNextFollowsTheChart(t *testing.T) {
	chart, err := statechart.Load("c.toml", []byte(`
name = "door"
initial = "open"
events = ["close", "lock"]
[states.open]
on = { close = "closed" }
ignore = ["lock"]
[states.closed]
on = { lock = "locked" }
ignore = ["close"]
[states.locked]
final = true
`))
	require.NoError(t, err)
	next, err := chart.Next("open", "close")
	require.NoError(t, err)
	assert.Equal(t, "closed", next)
	next, err = chart.Next("open", "lock")
	require.NoError(t, err)
	assert.Equal(t, "open", next)
	_, err = chart.Next("locked", "close")
	require.Error(t, err)
}

func TestLoadReportsUnreachableStatesAndUnhandledEvents(t *testing.T) {
	_, err := statechart.Load("c.toml", []byte(`
name = "broken"
initial = "a"
events = ["go"]
[states.a]
ignore = ["go"]
[states.b]
`))
	var found *findings.Error
	require.True(t, errors.As(err, &found))
	require.Len(t, found.Findings, 2)
	assert.Contains(t, found.Error(), "c.toml:7: states.b: event \"go\" is neither handled nor ignored")
	assert.Contains(t, found.Error(), "c.toml:7: states.b: no event leads to this state from the initial state")
}
