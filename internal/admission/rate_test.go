package admission_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/admission"
)

func TestRateIsTokensOverTheTimeInWhichAnyPromptIsComputed(t *testing.T) {
	m := admission.NewRateMeter(8000)
	assert.InDelta(t, 8000, m.Rate(), 0)
	m.Begin(at(0))
	m.Begin(at(100)) // two prompts at once for 100 ms
	m.End(at(200), 1000)
	m.End(at(300), 1000)
	m.Begin(at(900)) // nothing to compute for 600 ms
	m.End(at(1000), 1000)
	assert.InDelta(t, 7500, m.Rate(), 1)
}

func TestRateFollowsAnEngineThatSlowsDown(t *testing.T) {
	m := admission.NewRateMeter(0)
	now := 0
	run := func(count, ms int) {
		for range count {
			m.Begin(at(now))
			now += ms
			m.End(at(now), 1000)
		}
	}
	run(100, 100)
	assert.InDelta(t, 10_000, m.Rate(), 1)
	run(60, 500)
	assert.InDelta(t, 2000, m.Rate(), 500)
}

func TestAbandonedPromptsDoNotEndTheMeasurement(t *testing.T) {
	m := admission.NewRateMeter(0)
	m.End(at(0), 5) // ignored: no prompt has begun
	m.Begin(at(0))
	m.Begin(at(0))
	m.End(at(100), 0)
	m.End(at(200), 1000)
	assert.InDelta(t, 5000, m.Rate(), 1)
}
