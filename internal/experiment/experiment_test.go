package experiment_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/experiment"
	"github.com/jayproxy/jayproxy/internal/load"
	"github.com/jayproxy/jayproxy/internal/routing"
)

func spec(policy string) experiment.Spec {
	mix := load.Darovnica()
	mix.Servers = 3
	return experiment.Spec{
		Mix: mix, Policy: policy, Entries: 2, Share: 0.5, Rate: 15, Seed: 3, Prefill: 40000,
		WarmUp: time.Second, Measured: 2 * time.Second,
	}
}

func TestRunServesEveryCallWithHitRateBelowBound(t *testing.T) {
	result, err := experiment.Run(t.Context(), spec(routing.PolicyProbeIfUncertain))
	require.NoError(t, err)
	assert.Positive(t, result.Calls)
	assert.Equal(t, result.Calls, result.Served)
	assert.LessOrEqual(t, result.HitRate, result.Bound)
	assert.Positive(t, result.Messages)
}

func TestReportComparesWithBaselinesOfSameConfiguration(t *testing.T) {
	result := func(policy string, entries int, hitRate, p99 float64) experiment.Result {
		s := spec(policy)
		s.MixName, s.Entries = s.Mix.Name, entries
		return experiment.Result{Spec: s, Summary: load.Summary{HitRate: hitRate, FirstToken: load.Quantiles{P99: p99}}}
	}
	report := experiment.Report{Results: []experiment.Result{
		result(routing.PolicyLeastLoad, 1, 0.4, 1000), result(routing.PolicyProbeAll, 1, 0.8, 400),
		result(routing.PolicyProbeIfUncertain, 1, 0.78, 300), result(routing.PolicyProbeIfUncertain, 3, 0.78, 300),
	}}
	compared := report.Compare()
	assert.InDelta(t, 1.95, compared[2].HitOverLeastLoad, 0.001)
	assert.InDelta(t, 0.75, compared[2].P99OverFull, 0.001)
	assert.Zero(t, compared[3].HitOverFull, "no baseline ran with 3 entries")
	var html, table bytes.Buffer
	require.NoError(t, report.WriteHTML(&html))
	require.NoError(t, report.WriteTable(&table))
	assert.Contains(t, html.String(), "<svg")
	assert.NotContains(t, html.String(), "src=", "the page must not load other resources")
	assert.Contains(t, table.String(), routing.PolicyProbeIfUncertain)
}
