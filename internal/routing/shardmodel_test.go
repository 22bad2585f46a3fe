package routing_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// playLarge simulates 8 s of the mix at a load that leaves a third of the
// engines' prefill capacity free, and returns the fleet and its net share.
func playLarge(t *testing.T, name string, engines, entries int, prepare func(f *modelFleet)) (*modelFleet, float64) {
	t.Helper()
	f := newModelFleet(1, engines, entries, 140000, longAndShort(float64(engines)/16*1.1))
	for _, c := range f.classes {
		c.documents *= engines / 16
	}
	f.mayWait = true
	prepare(f)
	f.play(8000)
	r := f.results()
	net := r["all"].share() - float64(f.recomputed)/1000/r["all"].possible
	t.Logf("%s: %d engines, %d entries: net %.3f long %.3f (%d in time, %d late, %d failed) short %.3f; prefilled %d k, recomputed %d k, rejected %d",
		name, engines, entries, net, r["long"].share(), r["long"].inTime, r["long"].late, r["long"].failed, r["short"].share(), f.prefilled/1000, f.recomputed/1000, f.rejected)
	return f, net
}

// With many entries, each knows only a small part of the load. Without shard owners long prompts
// wait at some engines while others are idle, and prefixes are prefilled at several.
func TestShardOwnersServeLargeFleet(t *testing.T) {
	_, few := playLarge(t, "few entries that exchange hints", 48, 6, func(*modelFleet) {})
	isolated, many := playLarge(t, "many entries without hints", 48, 100, func(f *modelFleet) { f.isolated = 100 })
	shared, sharded := playLarge(t, "many entries with shard owners", 48, 100, func(f *modelFleet) { f.assignShards(6) })
	assert.Greater(t, sharded, many+0.1, "many entries are served better with shard owners than without hints")
	assert.Greater(t, sharded, few-0.03, "nearly as well as few entries with hints")
	assert.Less(t, shared.recomputed, isolated.recomputed*2/3)
}
