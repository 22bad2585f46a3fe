package quota

import "time"

// promiseTime is how long after its time a promise is kept for a caller that is late.
const promiseTime = 500 * time.Millisecond

// promises are the callers of one account that were told when to return. What they
// need is kept from others, so that they are admitted then.
type promises struct {
	byCaller map[uint64]promise
	// held is the sum of their costs.
	held float64
	// sweptAt is when lapsed promises were last removed.
	sweptAt time.Time
}

type promise struct {
	due  time.Time
	cost float64
}

// add promises a caller that it is admitted at due.
func (p *promises) add(caller uint64, due time.Time, cost float64) {
	if p.byCaller == nil {
		p.byCaller = map[uint64]promise{}
	}
	p.remove(caller)
	p.byCaller[caller] = promise{due: due, cost: cost}
	p.held += cost
}

func (p *promises) remove(caller uint64) {
	if old, ok := p.byCaller[caller]; ok {
		p.held = max(0, p.held-old.cost)
		delete(p.byCaller, caller)
	}
}

// earlyReturn is how much before its time a caller may return.
const earlyReturn = 30 * time.Millisecond

// due reports whether the caller returns as it was told.
func (p *promises) due(now time.Time, caller uint64) bool {
	one, ok := p.byCaller[caller]
	return ok && !now.Before(one.due.Add(-earlyReturn))
}

// sweep removes the promises of callers that did not return in time.
func (p *promises) sweep(now time.Time) {
	if len(p.byCaller) == 0 || now.Sub(p.sweptAt) < promiseTime/10 {
		return
	}
	p.sweptAt = now
	for caller, one := range p.byCaller {
		if now.After(one.due.Add(promiseTime)) {
			p.remove(caller)
		}
	}
	if len(p.byCaller) == 0 {
		p.held = 0
	}
}
