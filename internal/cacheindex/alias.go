package cacheindex

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/engine"
)

// DefaultAliases is enough for a prompt point a stride over four times the
// text that an engine of 23,000 blocks caches.
const DefaultAliases = 1 << 14

// Aliases maps points of our prefix chains to the engine's blocks: the last
// block that ends at or before the point. The engine's hashes need the prompt's
// text, which an offer does not carry, so they are learned when prompts are
// submitted. The least recently used go first. Not safe for concurrent use.
type Aliases struct {
	entries *simplelru.LRU[uint64, alias]
}

type alias struct {
	block engine.BlockHash
	// bytes of the prompt up to the block's end.
	bytes uint32
}

// NewAliases makes a table of at most size points.
func NewAliases(size int) *Aliases {
	entries, err := simplelru.NewLRU[uint64, alias](size, nil)
	if err != nil {
		panic(err) // Only a size below 1 is refused.
	}
	return &Aliases{entries: entries}
}

// Record takes the engine's blocks of a prompt, and the prompt bytes at which
// each ends, for the points of the prompt's chain.
func (a *Aliases) Record(chain []*jayv1.PrefixPoint, blocks []engine.BlockHash, ends []int) {
	last := -1
	for _, point := range chain {
		for last+1 < len(blocks) && ends[last+1] <= int(point.GetBytes()) {
			last++
		}
		if last >= 0 {
			a.entries.Add(point.GetHash(), alias{block: blocks[last], bytes: uint32(ends[last])})
		}
	}
}

// KnownBytes is how much of a prompt's start was submitted here before, as far
// back as the table reaches.
func (a *Aliases) KnownBytes(chain []*jayv1.PrefixPoint) int {
	known := 0
	for _, point := range chain {
		if entry, ok := a.entries.Peek(point.GetHash()); ok {
			known = int(entry.bytes)
		}
	}
	return known
}

// Len is the number of points known.
func (a *Aliases) Len() int { return a.entries.Len() }

// CachedBytes is how much of a prompt's start is cached: up to the deepest
// point whose block is there, and none of the points before it is known to be
// missing. Engines reuse a prefix only as a whole.
func (x *Index) CachedBytes(now time.Time, aliases *Aliases, chain []*jayv1.PrefixPoint) int {
	cached := 0
	for _, point := range chain {
		known, ok := aliases.entries.Get(point.GetHash())
		if !ok {
			continue
		}
		if !x.Has(now, known.block) {
			break
		}
		cached = int(known.bytes)
	}
	return cached
}
