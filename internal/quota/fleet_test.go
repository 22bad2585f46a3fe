package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/quota"
)

const (
	smallCap = quota.Account(1)
	largeCap = quota.Account(2)
)

// capped sets two caps, of one small and one large workspace, and their load as a share of
// the cap.
func (s *simulation) capped(load float64) {
	s.caps[smallCap], s.caps[largeCap] = quota.Cap{Rate: 36_000, Burst: 36_000}, quota.Cap{Rate: 425_000, Burst: 425_000}
	for _, id := range []quota.Account{smallCap, largeCap} {
		c := s.caps[id]
		callers := map[quota.Account]int{smallCap: 3, largeCap: 40}[id]
		s.offer(simLoad{account: id, callers: callers, rate: func(time.Duration) float64 { return load * c.Rate }})
	}
}

// faults are the failures that the cap must hold under.
var faults = map[string]func(s *simulation){
	"none": func(*simulation) {},
	"a third cut off": func(s *simulation) {
		s.after(6*time.Second, func() { s.cut(3, 1) })
		s.after(12*time.Second, func() { s.heal() })
	},
	"two halves": func(s *simulation) {
		s.after(6*time.Second, func() { s.cut(2, 1) })
		s.after(14*time.Second, func() { s.heal() })
	},
	"each alone": func(s *simulation) {
		s.after(6*time.Second, func() {
			for i, e := range s.entries {
				e.group = i
			}
		})
		s.after(14*time.Second, func() { s.heal() })
	},
	"cut again and again": func(s *simulation) {
		for t := 4 * time.Second; t < 24*time.Second; t += 1700 * time.Millisecond {
			s.after(t, func() { s.cut(2, 1) })
			s.after(t+900*time.Millisecond, func() { s.heal() })
		}
	},
	"frozen and woken": func(s *simulation) {
		for t := 5 * time.Second; t < 20*time.Second; t += 4 * time.Second {
			s.after(t, func() { s.freeze(4, true) })
			s.after(t+3500*time.Millisecond, func() { s.freeze(4, false) })
		}
	},
	"lenders killed": func(s *simulation) {
		for t := 5 * time.Second; t < 20*time.Second; t += 2500 * time.Millisecond {
			s.after(t, func() { s.killLender(800 * time.Millisecond) })
		}
	},
	"half killed together": func(s *simulation) {
		s.after(7*time.Second, func() { s.kill(2, time.Second) })
	},
	"all killed": func(s *simulation) {
		s.after(7*time.Second, func() { s.kill(1, 700*time.Millisecond) })
	},
	"entries added": func(s *simulation) {
		s.after(6*time.Second, func() {
			for range 3 {
				s.entries = append(s.entries, s.newEntry(len(s.entries)))
			}
			s.listed = len(s.entries)
			for _, e := range s.entries[s.listed-3:] {
				e.boot()
			}
			for i, e := range s.entries {
				s.after(time.Duration(i)*40*time.Millisecond, e.learnList)
			}
		})
	},
	"datagrams lost, late and twice": func(s *simulation) {
		s.network.lost, s.network.twice, s.network.late = 0.1, 0.1, 0.05
	},
	"clocks drift": func(s *simulation) {
		for i, e := range s.entries {
			e.skew = float64(i%5-2) * 0.01
		}
	},
}

func (s *simulation) cut(every, group int) {
	for i, e := range s.entries {
		if i%every == 0 {
			e.group = group
		}
	}
}

func (s *simulation) heal() {
	for _, e := range s.entries {
		e.group = 0
	}
}

func (s *simulation) freeze(every int, frozen bool) {
	for i, e := range s.entries {
		if i%every == 1 {
			e.frozen = frozen
		}
	}
}

func (s *simulation) kill(every int, down time.Duration) {
	for i, e := range s.entries {
		if i%every == 0 {
			e.down, e.start = true, 0
			s.after(down, e.boot)
		}
	}
}

func (s *simulation) killLender(down time.Duration) {
	lender, ok := s.entries[len(s.entries)-1].directory.LenderOf(largeCap)
	if e := s.byName(lender.Name); ok && !e.down {
		e.down, e.start = true, 0
		s.after(down, e.boot)
	}
}

// Guards against a cap that is exceeded by entries that cannot hear each other.
func TestNoWindowExceedsItsCap(t *testing.T) {
	for name, inject := range faults {
		for _, load := range []float64{0.9, 4.2} {
			t.Run(fmt.Sprintf("%s at %.1f", name, load), func(t *testing.T) {
				for seed := range uint64(4) {
					s := newSimulation(seed, 20, pooled)
					s.capped(load)
					inject(s)
					s.runFor(28 * time.Second)
					for id, c := range s.caps {
						stats := s.stats[id]
						t.Logf("seed %d, cap %.0f/s: %.3f of the allowed at most, refused %.4f of the units, %d callers returned, %.3f of them served",
							seed, c.Rate, s.worst(id)/s.allowed(c), stats.refused/stats.asked, stats.returned, stats.shareServed())
						assert.LessOrEqual(t, s.worst(id), s.allowed(c))
					}
				}
			})
		}
	}
}
