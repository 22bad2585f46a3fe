package load

import (
	"strings"

	"github.com/zeebo/xxh3"
)

// blockBytes is the text of one cached block of the stand-in engines.
const blockBytes = 64

// Bound is what an unlimited cache would do with a trace.
type Bound struct {
	PromptTokens int
	HitTokens    int
	// Hits of each call, by its index.
	Hits []int
	// SharedTokens is the text that more than one call has: the working set.
	SharedTokens int
}

// HitRate is the token-weighted hit rate that no router can exceed.
func (b Bound) HitRate() float64 { return share(float64(b.HitTokens), float64(b.PromptTokens)) }

// UnlimitedCache replays the calls against one cache that never evicts.
func UnlimitedCache(calls []Call) Bound {
	seen, shared := map[uint64]bool{}, map[uint64]bool{}
	bound := Bound{Hits: make([]int, len(calls))}
	for i := range calls {
		points := BlockChain(&calls[i])
		hit := 0
		for hit < len(points) && seen[points[hit]] {
			shared[points[hit]] = true
			hit++
		}
		for _, point := range points[hit:] {
			seen[point] = true
		}
		bound.Hits[i] = hit * blockBytes / BytesPerToken
		bound.HitTokens += bound.Hits[i]
		bound.PromptTokens += PromptBytes(&calls[i]) / BytesPerToken
	}
	bound.SharedTokens = len(shared) * blockBytes / BytesPerToken
	return bound
}

// share is a part of a whole, 0 of an empty one.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// PromptBytes is the length of a call's prompt as the engines see it.
func PromptBytes(call *Call) int {
	total := 0
	for _, part := range Rendered(call) {
		total += len(part)
	}
	return total
}

// BlockChain returns the nested hashes of a prompt's whole blocks.
func BlockChain(call *Call) []uint64 {
	text := strings.Join(Rendered(call), "")
	hash := xxh3.New()
	_, _ = hash.WriteString(call.Workspace)
	chain := make([]uint64, 0, len(text)/blockBytes)
	for ; len(text) >= blockBytes; text = text[blockBytes:] {
		_, _ = hash.WriteString(text[:blockBytes])
		chain = append(chain, hash.Sum64())
	}
	return chain
}
