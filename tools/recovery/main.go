// Command recovery measures, over a whole system on loopback, how long after
// each failure callers get whole answers again at every entry. It prints a
// table; docs/MEASUREMENTS.md takes it over.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jayproxy/jayproxy/internal/cli"
	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/standin/cluster"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
	"github.com/jayproxy/jayproxy/internal/standin/platform"
)

const (
	engines = 3
	entries = 3
	// steady is the number of whole answers in a row, at each entry, that count
	// as recovered.
	steady = 10
	// patience bounds the wait for recovery.
	patience = 60 * time.Second
	// pauseAfter lets the system forget one failure before the next.
	pauseAfter  = 3 * time.Second
	callTimeout = 10 * time.Second
)

// failure is one thing that breaks; strike returns when it is done.
type failure struct {
	name   string
	strike func(ctx context.Context, c *cluster.Cluster) error
	heal   func(c *cluster.Cluster)
}

func failures() []failure {
	return []failure{
		{name: "engine crashes and comes back cold at once", strike: func(_ context.Context, c *cluster.Cluster) error {
			c.Engines[0].Crash(0)
			return nil
		}},
		{name: "engine is down for 2 s", strike: func(_ context.Context, c *cluster.Cluster) error {
			go c.Engines[0].Crash(2 * time.Second)
			return nil
		}},
		{name: "engine fails all work behind a good face", strike: func(_ context.Context, c *cluster.Cluster) error {
			c.Engines[0].SetFaults(sim.Faults{Grey: "fail"})
			return nil
		}, heal: func(c *cluster.Cluster) { c.Engines[0].SetFaults(sim.Faults{}) }},
		{name: "agent killed and started again", strike: func(ctx context.Context, c *cluster.Cluster) error {
			return c.RestartAgent(ctx, 0)
		}},
		{name: "all entries killed and replaced, platform up", strike: func(ctx context.Context, c *cluster.Cluster) error {
			return c.RestartEntries(ctx)
		}},
		{name: "all entries killed and replaced, platform down", strike: func(ctx context.Context, c *cluster.Cluster) error {
			c.Platform.SetFaults(platform.Faults{Outage: true})
			return c.RestartEntries(ctx)
		}, heal: func(c *cluster.Cluster) { c.Platform.SetFaults(platform.Faults{}) }},
	}
}

func main() {
	rounds := flag.Int("rounds", 5, "times that each failure is caused")
	flag.Parse()
	cli.DiscardLogs()
	if err := measure(*rounds); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func measure(rounds int) error {
	ctx := context.Background()
	c, err := cluster.Start(ctx, cluster.Options{Engines: engines, Entries: entries})
	if err != nil {
		return err
	}
	defer c.Close()
	if _, _, err := recovered(c); err != nil {
		return err
	}
	fmt.Println("| failure | median | worst | answers that were not whole, median |")
	fmt.Println("|---|---|---|---|")
	for _, f := range failures() {
		var times []time.Duration
		var failed []int
		for range rounds {
			taken, n, err := once(ctx, c, f)
			if err != nil {
				return fmt.Errorf("%s: %w", f.name, err)
			}
			times, failed = append(times, taken), append(failed, n)
		}
		sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
		sort.Ints(failed)
		fmt.Printf("| %s | %s | %s | %d |\n", f.name, times[rounds/2].Round(time.Millisecond), times[rounds-1].Round(time.Millisecond), failed[rounds/2])
	}
	return nil
}

func once(ctx context.Context, c *cluster.Cluster, f failure) (time.Duration, int, error) {
	if err := f.strike(ctx, c); err != nil {
		return 0, 0, err
	}
	taken, failed, err := recovered(c)
	if f.heal != nil {
		f.heal(c)
	}
	time.Sleep(pauseAfter)
	return taken, failed, err
}

// recovered calls every entry, all at once, until each has given whole answers
// in a row. It returns the time to the first answer of the last such row, and
// the answers that were not whole.
func recovered(c *cluster.Cluster) (time.Duration, int, error) {
	var group errgroup.Group
	all := c.Entries()
	times, failed := make([]time.Duration, len(all)), make([]int, len(all))
	for i, one := range all {
		group.Go(func() (err error) {
			times[i], failed[i], err = recoveredAt(c, one)
			return err
		})
	}
	err := group.Wait()
	total := 0
	for _, n := range failed {
		total += n
	}
	return slices.Max(times), total, err
}

func recoveredAt(c *cluster.Cluster, one *entry.Entry) (time.Duration, int, error) {
	start, failed, row, began := time.Now(), 0, 0, time.Duration(0)
	for n := 0; row < steady; n++ {
		if time.Since(start) > patience {
			return 0, failed, fmt.Errorf("no %d whole answers in a row within %s", steady, patience)
		}
		if !whole(c, one, n) {
			row = 0
			failed++
			continue
		}
		if row == 0 {
			began = time.Since(start)
		}
		row++
	}
	return began, failed, nil
}

// whole makes a streamed call with a prompt of its own, so that it may go to
// any backend server, and tells whether the answer is whole.
func whole(c *cluster.Cluster, one *entry.Entry, n int) bool {
	body, err := json.Marshal(map[string]any{
		"model": cluster.Model, "stream": true, "max_tokens": 4,
		"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("recovery %d %d", n, time.Now().UnixNano())}},
	})
	if err != nil {
		return false
	}
	request, err := http.NewRequest(http.MethodPost, one.CallersURL()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+cluster.Key(c.Options.Workspaces[0]))
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && strings.Contains(string(answer), "data: [DONE]")
}
