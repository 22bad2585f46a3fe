// Package blockhash computes the hashes that the vendors' engines use for their
// cached blocks. A block holds BlockTokens tokens of BytesPerToken bytes of the
// canonical prompt; its hash covers the cache salt, the version, the adapter and
// the complete prompt up to the block's end.
package blockhash

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"github.com/jayproxy/jayproxy/internal/engine"
)

// Sizes that are the same for both vendors' engines.
const (
	BytesPerToken = 4
	BlockTokens   = 16
	BlockBytes    = BytesPerToken * BlockTokens
)

// Root identifies the cache namespace of a hash chain. Blocks of different roots
// have different hashes, whatever their text.
type Root struct {
	Salt          string
	VersionDigest string
	Adapter       string
}

// Scheme returns a block's hash from its parent's hash and its bytes.
type Scheme func(parent uint64, block []byte) uint64

// Merle hashes the parent's hash followed by the block's bytes.
func Merle(parent uint64, block []byte) uint64 {
	var buffer [8 + BlockBytes]byte
	binary.LittleEndian.PutUint64(buffer[:], parent)
	n := copy(buffer[8:], block)
	return xxh3.Hash(buffer[:8+n])
}

// Pica seeds the hash of the block's bytes with the parent's hash.
func Pica(parent uint64, block []byte) uint64 {
	return xxh3.HashSeed(block, parent)
}

// Chain returns the hashes of the full blocks of a prompt in canonical parts, and
// the offset in bytes at which each ends. Engines do not cache a block that the
// prompt fills only in part, so it has no hash.
func Chain(scheme Scheme, root Root, parts []string) ([]engine.BlockHash, []int) {
	total := 0
	for _, part := range parts {
		total += len(part)
	}
	c := chain{
		scheme: scheme,
		parent: root.seed(),
		hashes: make([]engine.BlockHash, 0, total/BlockBytes),
		ends:   make([]int, 0, total/BlockBytes),
	}
	for _, part := range parts {
		c.write(part)
	}
	return c.hashes, c.ends
}

// seed hashes the fields with their lengths, so that moving a boundary between
// fields changes the hash.
func (r Root) seed() uint64 {
	h := xxh3.New()
	for _, field := range []string{r.Salt, r.VersionDigest, r.Adapter} {
		var size [4]byte
		binary.LittleEndian.PutUint32(size[:], uint32(len(field)))
		_, _ = h.Write(size[:])
		_, _ = h.WriteString(field)
	}
	return h.Sum64()
}

type chain struct {
	scheme Scheme
	parent uint64
	block  [BlockBytes]byte
	filled int
	hashes []engine.BlockHash
	ends   []int
}

func (c *chain) write(part string) {
	for len(part) > 0 {
		n := copy(c.block[c.filled:], part)
		c.filled += n
		part = part[n:]
		if c.filled < BlockBytes {
			return
		}
		c.parent = c.scheme(c.parent, c.block[:])
		c.hashes = append(c.hashes, engine.BlockHash(c.parent))
		c.ends = append(c.ends, len(c.hashes)*BlockBytes)
		c.filled = 0
	}
}

// Tokens returns the number of tokens of a prompt in canonical parts, at least
// one.
func Tokens(parts []string) int {
	total := 0
	for _, part := range parts {
		total += len(part)
	}
	return max(1, (total+BytesPerToken-1)/BytesPerToken)
}
