package agent

import (
	"sync"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// inFlightPrefixes counts the prefix points of accepted attempts that have not
// ended. A prompt that shares them will find them cached when it starts, so they
// do not count as uncached. Otherwise the prompt could be declined for their
// cost, and another engine would compute the same prefix again.
type inFlightPrefixes struct {
	mu     sync.Mutex
	counts map[uint64]int
}

func newInFlightPrefixes() *inFlightPrefixes { return &inFlightPrefixes{counts: map[uint64]int{}} }

func (p *inFlightPrefixes) add(chain []*jayv1.PrefixPoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, point := range chain {
		p.counts[point.GetHash()]++
	}
}

func (p *inFlightPrefixes) remove(chain []*jayv1.PrefixPoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, point := range chain {
		if p.counts[point.GetHash()]--; p.counts[point.GetHash()] <= 0 {
			delete(p.counts, point.GetHash())
		}
	}
}

// bytes returns the length of the prompt's prefix that accepted attempts share.
func (p *inFlightPrefixes) bytes(chain []*jayv1.PrefixPoint) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	shared := 0
	for _, point := range chain {
		if p.counts[point.GetHash()] == 0 {
			break
		}
		shared = int(point.GetBytes())
	}
	return shared
}
