// Command soak runs a complete system on loopback under seeded random faults and
// checks its invariants: every stream is complete and belongs to its caller, or ends
// in an explicit error; a call reported as "not run" did not run; a booking with an
// idempotency key runs at most once. `make soak` runs it for ten minutes.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/jayproxy/jayproxy/internal/cli"
	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/standin/cluster"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

const (
	engines  = 4
	services = 2
	entries  = 3
	// progressEvery is the interval between progress lines.
	progressEvery = 30 * time.Second
	// settleTime bounds the wait for recovery after the last fault.
	settleTime = 30 * time.Second
)

func main() {
	length := flag.Duration("for", 10*time.Minute, "length of the run")
	seed := flag.Uint64("seed", 1, "seed of faults and callers")
	callers := flag.Int("callers", 24, "number of concurrent callers")
	flag.Parse()
	cli.DiscardLogs()
	violations, err := run(*length, *seed, *callers)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if violations > 0 {
		os.Exit(1)
	}
}

func run(length time.Duration, seed uint64, callers int) (int, error) {
	ctx := context.Background()
	c, err := cluster.Start(ctx, cluster.Options{
		Engines: engines, Services: services, Entries: entries,
		Engine: sim.Options{CacheBlocks: 4000, DecodeStep: 2 * time.Millisecond},
		Entry: func(s *entry.Settings) {
			s.Timeouts.GraceMS = 50
			s.Timeouts.DeadlineMS = 10000
			s.Ledger.SettleMS = 1000
		},
	})
	if err != nil {
		return 0, err
	}
	defer c.Close()
	r := newRecorder(c)
	faultCtx, stopFaults := context.WithTimeout(ctx, length)
	defer stopFaults()
	done := make(chan struct{})
	go func() {
		defer close(done)
		newInjector(c, seed).run(faultCtx, r)
	}()
	go progress(faultCtx, r)
	callAll(faultCtx, r, seed, callers)
	<-done
	settleCtx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	r.checkRecovered(settleCtx)
	r.checkRuns()
	return r.report(os.Stdout), nil
}

func progress(ctx context.Context, r *recorder) {
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fmt.Println(r.summary())
		}
	}
}
