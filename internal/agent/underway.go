package agent

import (
	"sync"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// underway counts the prefix points of accepted attempts that have not ended.
// A prompt that shares them will find them cached when its turn comes: what an
// engine is just computing is no cost of the next request, and declining it
// for that would have the same prefix computed elsewhere as well.
type underway struct {
	mu     sync.Mutex
	points map[uint64]int
}

func newUnderway() *underway { return &underway{points: map[uint64]int{}} }

func (u *underway) add(chain []*jayv1.PrefixPoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, point := range chain {
		u.points[point.GetHash()]++
	}
}

func (u *underway) remove(chain []*jayv1.PrefixPoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, point := range chain {
		if u.points[point.GetHash()]--; u.points[point.GetHash()] <= 0 {
			delete(u.points, point.GetHash())
		}
	}
}

// bytes of a prompt's start that are being computed, or wait to be.
func (u *underway) bytes(chain []*jayv1.PrefixPoint) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	shared := 0
	for _, point := range chain {
		if u.points[point.GetHash()] == 0 {
			break
		}
		shared = int(point.GetBytes())
	}
	return shared
}
