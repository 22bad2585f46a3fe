package load_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/load"
	"github.com/jayproxy/jayproxy/internal/prefix"
)

func traffic(mix load.Mix) load.Traffic {
	return load.Traffic{Mix: mix, Rate: 50, Duration: 20 * time.Second, Seed: 7}
}

func TestCallsDependOnlyOnTrafficAndSeed(t *testing.T) {
	one, two := load.Generate(traffic(load.Association())), load.Generate(traffic(load.Association()))
	assert.Equal(t, one, two)
	other := traffic(load.Association())
	other.Seed = 8
	assert.NotEqual(t, one, load.Generate(other))
}

func TestRenderedMatchesPrefixRender(t *testing.T) {
	for _, mix := range load.Mixes() {
		for _, call := range load.Generate(traffic(mix))[:50] {
			body, err := load.Body(&call, "m")
			require.NoError(t, err)
			parts, err := prefix.Render(body)
			require.NoError(t, err)
			assert.Equal(t, parts, load.Rendered(&call))
		}
	}
}

func TestRateAndKindsMatchTheMix(t *testing.T) {
	for _, mix := range load.Mixes() {
		calls := load.Generate(traffic(mix))
		assert.InDelta(t, 1000, len(calls), 130, "four standard deviations of 1,000 arrivals")
		kinds := map[string]int{}
		for _, call := range calls {
			kinds[call.Kind]++
		}
		for _, kind := range mix.Kinds {
			assert.InDelta(t, kind.Share, float64(kinds[kind.Name])/float64(len(calls)), 0.07)
		}
	}
}

func TestShiftReplacesMostPopularTemplates(t *testing.T) {
	shifted := traffic(load.Darovnica())
	shifted.ShiftAt = 10 * time.Second
	before, after := map[string]bool{}, map[string]bool{}
	for _, call := range load.Generate(shifted) {
		if call.At < shifted.ShiftAt {
			before[call.Parts[1]] = true
		} else {
			after[call.Parts[1]] = true
		}
	}
	fresh := 0
	for text := range after {
		if !before[text] {
			fresh++
		}
	}
	assert.GreaterOrEqual(t, fresh, 10)
}

func TestUnlimitedCacheHitsOnlyEarlierCalls(t *testing.T) {
	calls := load.Generate(traffic(load.Association()))
	assert.Zero(t, load.UnlimitedCache(calls[:1]).HitTokens)
	twice := load.UnlimitedCache([]load.Call{calls[0], calls[0]})
	assert.InDelta(t, 0.5, twice.HitRate(), 0.01)
	assert.Less(t, load.UnlimitedCache(calls).HitRate(), 1.0)
}
