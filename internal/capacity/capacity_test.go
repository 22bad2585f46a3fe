package capacity_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/capacity"
)

func fittedSlope(name string, perUnit, fixed float64) capacity.Slope {
	s := capacity.Slope{Name: name}
	for _, x := range []float64{1, 2, 4} {
		s.Points = append(s.Points, capacity.Point{X: x, Y: fixed + perUnit*x})
	}
	fitted, err := capacity.Fit(s)
	if err != nil {
		panic(err)
	}
	return fitted
}

func TestFitFindsTheLineAndNeedsThreePoints(t *testing.T) {
	s := fittedSlope("x", 3, 7)
	assert.InDelta(t, 3, s.PerUnit, 1e-9)
	assert.InDelta(t, 7, s.Fixed, 1e-9)
	assert.InDelta(t, 1, s.R2, 1e-9)
	_, err := capacity.Fit(capacity.Slope{Points: []capacity.Point{{X: 1, Y: 1}, {X: 2, Y: 2}}})
	require.Error(t, err)
}

func TestRowVerdicts(t *testing.T) {
	set := capacity.Set{
		"control_entry_bytes": fittedSlope("control_entry_bytes", 100, 0),
		"control_agent_bytes": fittedSlope("control_agent_bytes", 1, 0),
	}
	verdicts := map[string]capacity.Verdict{}
	for _, row := range capacity.Rows(capacity.TwoYearForecast(), set) {
		verdicts[row.Role+": "+row.What] = row.Verdict()
	}
	assert.Equal(t, capacity.FallsShort, verdicts["entry: control bytes (gossip, catalog, homes of agents)"])
	assert.Equal(t, capacity.Holds, verdicts["agent: control bytes"])
	assert.Equal(t, capacity.NotKnown, verdicts["agent: memory: index of cached blocks"])
}

func TestSaveAndLoadKeepSlopes(t *testing.T) {
	file := t.TempDir() + "/slopes.json"
	require.NoError(t, capacity.Save(file, []capacity.Slope{fittedSlope("x", 3, 7)}))
	set, err := capacity.Load(file)
	require.NoError(t, err)
	assert.InDelta(t, 3, set["x"].PerUnit, 1e-9)
}
