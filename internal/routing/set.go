package routing

import (
	"math/bits"

	"github.com/zeebo/xxh3"
)

// Set holds the backend servers of one pool or service. It is immutable.
type Set struct {
	pool    string
	servers []Server
	hashes  []uint64
	byName  map[string]int32
}

// NewSet returns a set; pool is the name of the pool or service.
func NewSet(pool string, servers []Server) *Set {
	s := &Set{
		pool:    pool,
		servers: append([]Server(nil), servers...),
		hashes:  make([]uint64, len(servers)),
		byName:  make(map[string]int32, len(servers)),
	}
	for i, server := range s.servers {
		s.hashes[i] = xxh3.HashString(server.Name)
		s.byName[server.Name] = int32(i)
	}
	return s
}

// Len returns the number of servers.
func (s *Set) Len() int { return len(s.servers) }

// Rendezvous returns the rendezvous hashing weight of a server's hash for a
// key; the server with the highest weight is preferred.
func Rendezvous(key, server uint64) uint64 {
	const first, second = 0x9e3779b97f4a7c15, 0xd1b54a32d192ed03
	hi, lo := bits.Mul64(key^first, server^second)
	return hi ^ lo
}

// maxRanked is the number of servers kept of a rendezvous ranking: the widest
// set of a prefix, and the servers after it that replace unusable ones.
const maxRanked = 16

// ranking is the head of the rendezvous ranking for a key, best first.
type ranking struct {
	length  int
	servers [maxRanked]int32
}

// rank computes the ranking for a key. Every process with the same server names
// computes the same ranking, and a lost server moves only its own keys.
func (s *Set) rank(key uint64, into *ranking) {
	var weights [maxRanked]uint64
	n := 0
	for i, hash := range s.hashes {
		weight := Rendezvous(key, hash)
		if n == maxRanked && weight <= weights[n-1] {
			continue
		}
		if n < maxRanked {
			n++
		}
		at := n - 1
		for at > 0 && weights[at-1] < weight {
			weights[at] = weights[at-1]
			into.servers[at] = into.servers[at-1]
			at--
		}
		weights[at] = weight
		into.servers[at] = int32(i)
	}
	into.length = n
}
