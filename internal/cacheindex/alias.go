package cacheindex

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/engine"
)

// DefaultAliases is enough for four times the text that an engine of 23,000 blocks caches, at
// one prefix point per stride (the distance between points of a prefix chain).
const DefaultAliases = 1 << 14

// Aliases maps prefix points to engine blocks: each point to the last block that ends at
// or before it. Block hashes can only be computed from the prompt's text, which an offer
// doesn't carry, so the mapping is recorded when prompts are submitted. The least recently
// used points are evicted first. Not safe for concurrent use.
type Aliases struct {
	entries *simplelru.LRU[uint64, alias]
}

type alias struct {
	block engine.BlockHash
	// bytes is the length of the prompt up to the end of the block.
	bytes uint32
}

// NewAliases returns a mapping of at most size points. It panics if size is below 1.
func NewAliases(size int) *Aliases {
	entries, err := simplelru.NewLRU[uint64, alias](size, nil)
	if err != nil {
		panic(err) // size is below 1
	}
	return &Aliases{entries: entries}
}

// Record maps the points of a prompt's chain to the prompt's engine blocks. ends holds the
// prompt bytes at which each block ends.
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

// KnownBytes returns the length in bytes of the prompt's start that was submitted before,
// as far as the mapping still holds it.
func (a *Aliases) KnownBytes(chain []*jayv1.PrefixPoint) int {
	known := 0
	for _, point := range chain {
		if entry, ok := a.entries.Peek(point.GetHash()); ok {
			known = int(entry.bytes)
		}
	}
	return known
}

// Len returns the number of points in the mapping.
func (a *Aliases) Len() int { return a.entries.Len() }

// CachedBytes returns the length in bytes of the prompt's start that is cached. It ends at
// the first point whose block is missing, as engines reuse only an uninterrupted prefix.
// Points without a known block are skipped.
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
