package blockhash_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/engine/blockhash"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

func TestBlockHashesDependOnTextNotParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scheme := rapid.SampledFrom([]blockhash.Scheme{blockhash.Merle, blockhash.Pica}).Draw(t, "scheme")
		text := rapid.StringN(0, 400, 800).Draw(t, "text")
		cut := rapid.IntRange(0, len(text)).Draw(t, "cut")
		joined, ends := blockhash.Chain(scheme, blockhash.Root{Salt: "w"}, []string{text})
		parts, _ := blockhash.Chain(scheme, blockhash.Root{Salt: "w"}, []string{text[:cut], text[cut:]})
		assert.Equal(t, joined, parts)
		assert.Len(t, joined, len(text)/blockhash.BlockBytes)
		for i, end := range ends {
			assert.Equal(t, (i+1)*blockhash.BlockBytes, end)
		}
	})
}

func TestSaltVersionAndAdapterSeparateBlocks(t *testing.T) {
	text := []string{strings.Repeat("x", 200)}
	roots := []blockhash.Root{{Salt: "a"}, {Salt: "b"}, {VersionDigest: "a"}, {Adapter: "a"}, {Salt: "ab"}, {Salt: "a", VersionDigest: "b"}}
	for _, scheme := range []blockhash.Scheme{blockhash.Merle, blockhash.Pica} {
		seen := map[uint64]bool{}
		for _, root := range roots {
			hashes, _ := blockhash.Chain(scheme, root, text)
			for _, hash := range hashes {
				assert.False(t, seen[uint64(hash)])
				seen[uint64(hash)] = true
			}
		}
	}
}
