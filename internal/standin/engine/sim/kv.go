package sim

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/jayproxy/jayproxy/internal/engine"
)

// kvMagic starts every export of KV cache.
const kvMagic = "kv-1"

// hashBytes is the size of a block's name.
const hashBytes = 8

// Export returns the KV cache of those of the blocks that are cached.
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
		var name [hashBytes]byte
		binary.LittleEndian.PutUint64(name[:], uint64(hash))
		b.Write(name[:])
		b.Write(filler)
	}
	return b.Bytes()
}

// Import takes the blocks of an export into the cache and returns their number.
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
	each := hashBytes + int(binary.LittleEndian.Uint32(kv[len(kvMagic):]))
	rest := kv[head:]
	if len(rest)%each != 0 {
		return nil, ErrInvalid
	}
	blocks := make([]engine.BlockHash, 0, len(rest)/each)
	for ; len(rest) > 0; rest = rest[each:] {
		blocks = append(blocks, engine.BlockHash(binary.LittleEndian.Uint64(rest)))
	}
	return blocks, nil
}
