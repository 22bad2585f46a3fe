package routing_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// playLarge plays 8 s of the mix at a load that leaves a third of the engines'
// reading free, and returns the fleet and its net share.
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
	t.Logf("%s: %d engines, %d entries: net %.3f long %.3f (%d in time, %d late, %d failed) short %.3f; read %d k, again %d k, turned away %d",
		name, engines, entries, net, r["long"].share(), r["long"].inTime, r["long"].late, r["long"].failed, r["short"].share(), f.prefilled/1000, f.recomputed/1000, f.rejected)
	return f, net
}

// The same traffic was served worse by more VMs: with a hundred entries each saw a
// hundredth of what went on, and what it could tell the others was cut to nearly
// nothing. Long prompts waited seconds at some engines while others stood idle,
// and prefixes were read at several.
func TestShardOwnersServeLargeFleet(t *testing.T) {
	_, few := playLarge(t, "few entries that tell each other all", 48, 6, func(*modelFleet) {})
	isolated, many := playLarge(t, "many entries that tell nothing", 48, 100, func(f *modelFleet) { f.isolated = 100 })
	shared, sharded := playLarge(t, "many entries, owners of shards asked", 48, 100, func(f *modelFleet) { f.assignShards(6) })
	assert.Greater(t, sharded, many+0.1, "the fleet of many entries is served better")
	assert.Greater(t, sharded, few-0.03, "as well as by a few")
	assert.Less(t, shared.recomputed, isolated.recomputed*2/3)
}
