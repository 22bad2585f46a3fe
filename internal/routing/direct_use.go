package routing

import (
	"math"
	"time"
)

// workRate is a decaying average of the prefill work that is placed, in milliseconds per
// second.
type workRate struct {
	perSecond float64
	at        time.Time
}

func (r *workRate) add(now time.Time, ms float64) {
	r.perSecond = r.value(now) + ms/inflowWindow.Seconds()
	r.at = now
}

func (r *workRate) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-max(0, now.Sub(r.at).Seconds())/inflowWindow.Seconds())
}

// PrefillUse estimates the share of the prefill capacity of a number of engines that
// requests take, from those of this router, one of entries that get as many. Above 1, more
// work arrives than the engines can do.
func (d *Direct) PrefillUse(now time.Time, entries, engines int) float64 {
	if engines == 0 {
		return 0
	}
	const msPerSecond = 1000
	return d.placedWork.value(now) / msPerSecond * float64(max(entries, 1)) / float64(engines)
}

// MemoryUse estimates the share of the memory of engines, capacity tokens in all, that running
// requests occupy. Entries that send no hints are assumed to use as much as this router's
// requests do.
func (d *Direct) MemoryUse(now time.Time, entries, capacity int, engines []ServerLoad) float64 {
	inUse, reporting := 0, 0
	for _, engine := range engines {
		inUse += engine.load.tokensInUse(now)
	}
	for _, at := range d.memoryHintAt {
		if now.Sub(at) < memoryHintLifetime {
			reporting++
		}
	}
	if capacity == 0 {
		return 0
	}
	inUse += max(0, entries-1-reporting) * d.tokens
	return float64(inUse) / float64(capacity)
}

// ServerLoad refers to what a router records of a server. It is valid until RemoveServer is
// called for that server.
type ServerLoad struct{ load *directLoad }

// ServerLoad returns the reference to a server's load, for callers that read the loads of many
// servers again and again.
func (d *Direct) ServerLoad(server string) ServerLoad { return ServerLoad{d.load(server)} }

// Running returns the number of the router's requests at the server.
func (l ServerLoad) Running() int { return l.load.running }

// Work is what a server has to do, as far as it is known.
type Work struct {
	// MS is the estimated time for it, Waiting the number of requests that the server
	// said are waiting for it.
	MS      float64
	Waiting int
}

// Work returns what an engine has to do.
func (d *Direct) Work(now time.Time, engine ServerLoad) Work {
	l := engine.load
	var work Work
	work.MS, _, _ = d.queueMS(now, l, priorityLevels-1)
	if now.Sub(l.otherRequestsAt) < reportLifetime {
		work.Waiting = l.reportedWaiting
	}
	return work
}
