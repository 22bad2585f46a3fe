// Command soak runs a whole system on loopback under seeded random faults and
// checks all the while what must always hold: every stream is whole and its
// caller's own or ends in an explicit error, "not run" is true, a booking with
// a key runs at most once. `make soak` runs it for ten minutes.
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
	// progressEvery is how often a line says how far the run is.
	progressEvery = 30 * time.Second
	// settleTime lets calls end after the last fault.
	settleTime = 30 * time.Second
)

func main() {
	length := flag.Duration("for", 10*time.Minute, "length of the run")
	seed := flag.Uint64("seed", 1, "seed of faults and callers")
	callers := flag.Int("callers", 24, "callers at once")
	flag.Parse()
	cli.DiscardLogs()
	faults, err := run(*length, *seed, *callers)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if faults > 0 {
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
	settled, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	r.checkRecovered(settled)
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
