package sim

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/jayproxy/jayproxy/internal/engine"
)

// kvMagic begins every KV cache export.
const kvMagic = "kv-1"

// hashBytes is the size of a block hash.
const hashBytes = 8

// Export returns the KV cache of the given blocks; blocks not cached are left out.
func (c *Core) Export(blocks []engine.BlockHash) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b bytes.Buffer
	b.WriteString(kvMagic)
	var size [4]byte
	binary.LittleEndian.PutUint32(size[:], uint32(c.options.KVBytesPerBlock))
	b.Write(size[:])
	filler := make([]byte, c.options.KVBytesPerBlock)
	for _, hash := range blocks {
		if _, ok := c.cache.index[hash]; !ok {
			continue
		}
		var encoded [hashBytes]byte
		binary.LittleEndian.PutUint64(encoded[:], uint64(hash))
		b.Write(encoded[:])
		b.Write(filler)
	}
	return b.Bytes()
}

// Import adds the blocks of an export to the cache and returns their number, or
// ErrInvalid if the export is malformed.
func (c *Core) Import(kv []byte) (int, error) {
	blocks, err := decodeKV(kv)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	stored, removed := c.cache.use(blocks)
	c.journal.add(now, engine.BlocksRemoved, removed)
	c.journal.add(now, engine.BlocksStored, stored)
	c.signal()
	return len(blocks), nil
}

func decodeKV(kv []byte) ([]engine.BlockHash, error) {
	head := len(kvMagic) + 4
	if len(kv) < head || string(kv[:len(kvMagic)]) != kvMagic {
		return nil, ErrInvalid
	}
	blockBytes := hashBytes + int(binary.LittleEndian.Uint32(kv[len(kvMagic):]))
	rest := kv[head:]
	if len(rest)%blockBytes != 0 {
		return nil, ErrInvalid
	}
	blocks := make([]engine.BlockHash, 0, len(rest)/blockBytes)
	for ; len(rest) > 0; rest = rest[blockBytes:] {
		blocks = append(blocks, engine.BlockHash(binary.LittleEndian.Uint64(rest)))
	}
	return blocks, nil
}
