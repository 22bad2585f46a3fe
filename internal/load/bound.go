package load

import (
	"strings"

	"github.com/zeebo/xxh3"
)

// blockBytes is the size in bytes of the text of one cached block in the stand-in
// engines.
const blockBytes = 64

// Bound is the result of an unlimited cache on a list of calls.
type Bound struct {
	PromptTokens int
	HitTokens    int
	// Hits are the tokens hit by each call, by Call.Index.
	Hits []int
	// SharedTokens is the size of the blocks that more than one call contains: the
	// working set.
	SharedTokens int
}

// HitRate returns the token-weighted hit rate, an upper bound for any router.
func (b Bound) HitRate() float64 { return share(float64(b.HitTokens), float64(b.PromptTokens)) }

// UnlimitedCache replays the calls, in order, against one cache that never evicts.
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

// share returns part divided by total, or 0 if total is 0.
func share(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return part / total
}

// PromptBytes returns the length in bytes of a call's canonical prompt.
func PromptBytes(call *Call) int {
	total := 0
	for _, part := range Rendered(call) {
		total += len(part)
	}
	return total
}

// BlockChain returns the cumulative hashes of a prompt's complete blocks; each hash
// covers the workspace and the prompt up to the end of its block.
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
