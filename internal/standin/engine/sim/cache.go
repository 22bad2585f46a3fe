package sim

import "github.com/jayproxy/jayproxy/internal/engine"

// noNode marks the end of the list.
const noNode = int32(-1)

type node struct {
	hash       engine.BlockHash
	prev, next int32
}

// cache is an LRU set of blocks. Its nodes are in one slice without pointers, so
// that the garbage collector need not scan a large cache.
type cache struct {
	capacity int
	index    map[engine.BlockHash]int32
	nodes    []node
	free     []int32
	// head is the most recently used node, tail the next one to be evicted.
	head, tail int32
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, index: map[engine.BlockHash]int32{}, head: noNode, tail: noNode}
}

func (c *cache) len() int { return len(c.index) }

// hits counts the leading blocks of a chain that are cached.
func (c *cache) hits(chain []engine.BlockHash) int {
	for i, hash := range chain {
		if _, ok := c.index[hash]; !ok {
			return i
		}
	}
	return len(chain)
}

// use marks the blocks of a chain as most recently used, its first block in front,
// so that a prefix is never evicted before the blocks that extend it. It returns
// the blocks added and the blocks evicted; no block is in both. A chain longer
// than the cache is truncated.
func (c *cache) use(chain []engine.BlockHash) (stored, removed []engine.BlockHash) {
	chain = chain[:min(len(chain), c.capacity)]
	// Moves cached blocks to the front first, so that adding the others cannot evict them.
	for _, hash := range chain {
		if at, ok := c.index[hash]; ok {
			c.unlink(at)
			c.pushFront(at)
		}
	}
	for i := len(chain) - 1; i >= 0; i-- {
		if at, ok := c.index[chain[i]]; ok {
			c.unlink(at)
			c.pushFront(at)
			continue
		}
		if len(c.index) >= c.capacity {
			removed = append(removed, c.dropTail())
		}
		c.insert(chain[i])
		stored = append(stored, chain[i])
	}
	// Parents first, the order in which engines publish them.
	for i, j := 0, len(stored)-1; i < j; i, j = i+1, j-1 {
		stored[i], stored[j] = stored[j], stored[i]
	}
	return stored, removed
}

func (c *cache) insert(hash engine.BlockHash) {
	var at int32
	if n := len(c.free); n > 0 {
		at = c.free[n-1]
		c.free = c.free[:n-1]
	} else {
		at = int32(len(c.nodes))
		c.nodes = append(c.nodes, node{})
	}
	c.nodes[at].hash = hash
	c.index[hash] = at
	c.pushFront(at)
}

func (c *cache) dropTail() engine.BlockHash {
	at := c.tail
	hash := c.nodes[at].hash
	c.unlink(at)
	delete(c.index, hash)
	c.free = append(c.free, at)
	return hash
}

func (c *cache) pushFront(at int32) {
	c.nodes[at].prev, c.nodes[at].next = noNode, c.head
	if c.head != noNode {
		c.nodes[c.head].prev = at
	}
	c.head = at
	if c.tail == noNode {
		c.tail = at
	}
}

func (c *cache) unlink(at int32) {
	n := c.nodes[at]
	if n.prev == noNode {
		c.head = n.next
	} else {
		c.nodes[n.prev].next = n.next
	}
	if n.next == noNode {
		c.tail = n.prev
	} else {
		c.nodes[n.next].prev = n.prev
	}
}

// all lists the blocks, most recently used first.
func (c *cache) all() []engine.BlockHash {
	list := make([]engine.BlockHash, 0, len(c.index))
	for at := c.head; at != noNode; at = c.nodes[at].next {
		list = append(list, c.nodes[at].hash)
	}
	return list
}
