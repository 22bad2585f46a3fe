// Command recovery measures, on a complete system on loopback, the time from each
// failure until callers get complete answers again from every entry. It prints a
// Markdown table for docs/MEASUREMENTS.md.
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
	// steadyAnswers is the number of consecutive complete answers from an entry that
	// count as recovery.
	steadyAnswers = 10
	// recoveryTimeout bounds the wait for recovery.
	recoveryTimeout = 60 * time.Second
	// settleTime lets the effects of one failure end before the next.
	settleTime  = 3 * time.Second
	callTimeout = 10 * time.Second
)

// failure is one kind of failure. inject returns once the failure is in effect; heal,
// if not nil, removes it.
type failure struct {
	name   string
	inject func(ctx context.Context, c *cluster.Cluster) error
	heal   func(c *cluster.Cluster)
}

func failures() []failure {
	return []failure{
		{name: "engine crashes and restarts at once with an empty cache", inject: func(_ context.Context, c *cluster.Cluster) error {
			c.Engines[0].Crash(0)
			return nil
		}},
		{name: "engine is down for 2 s", inject: func(_ context.Context, c *cluster.Cluster) error {
			go c.Engines[0].Crash(2 * time.Second)
			return nil
		}},
		{name: "engine fails all requests, reports healthy state", inject: func(_ context.Context, c *cluster.Cluster) error {
			c.Engines[0].SetFaults(sim.Faults{Grey: "fail"})
			return nil
		}, heal: func(c *cluster.Cluster) { c.Engines[0].SetFaults(sim.Faults{}) }},
		{name: "agent killed and started again", inject: func(ctx context.Context, c *cluster.Cluster) error {
			return c.RestartAgent(ctx, 0)
		}},
		{name: "all entries killed and replaced, platform up", inject: func(ctx context.Context, c *cluster.Cluster) error {
			return c.RestartEntries(ctx)
		}},
		{name: "all entries killed and replaced, platform down", inject: func(ctx context.Context, c *cluster.Cluster) error {
			c.Platform.SetFaults(platform.Faults{Outage: true})
			return c.RestartEntries(ctx)
		}, heal: func(c *cluster.Cluster) { c.Platform.SetFaults(platform.Faults{}) }},
	}
}

func main() {
	rounds := flag.Int("rounds", 5, "number of times that each failure is injected")
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
	if _, _, err := awaitRecovery(c); err != nil {
		return err
	}
	fmt.Println("| failure | median | worst | incomplete answers, median |")
	fmt.Println("|---|---|---|---|")
	for _, f := range failures() {
		var times []time.Duration
		var failed []int
		for range rounds {
			taken, n, err := measureOnce(ctx, c, f)
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

func measureOnce(ctx context.Context, c *cluster.Cluster, f failure) (time.Duration, int, error) {
	if err := f.inject(ctx, c); err != nil {
		return 0, 0, err
	}
	taken, failed, err := awaitRecovery(c)
	if f.heal != nil {
		f.heal(c)
	}
	time.Sleep(settleTime)
	return taken, failed, err
}

// awaitRecovery calls every entry concurrently until each has returned steadyAnswers
// complete answers in a row. It returns the time until the slowest entry's first
// answer of that row, and the number of incomplete answers.
func awaitRecovery(c *cluster.Cluster) (time.Duration, int, error) {
	var group errgroup.Group
	all := c.Entries()
	times, failed := make([]time.Duration, len(all)), make([]int, len(all))
	for i, one := range all {
		group.Go(func() (err error) {
			times[i], failed[i], err = awaitRecoveryAt(c, one)
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

func awaitRecoveryAt(c *cluster.Cluster, one *entry.Entry) (time.Duration, int, error) {
	start, failed, consecutive, recoveredAfter := time.Now(), 0, 0, time.Duration(0)
	for n := 0; consecutive < steadyAnswers; n++ {
		if time.Since(start) > recoveryTimeout {
			return 0, failed, fmt.Errorf("no %d consecutive complete answers within %s", steadyAnswers, recoveryTimeout)
		}
		if !complete(c, one, n) {
			consecutive = 0
			failed++
			continue
		}
		if consecutive == 0 {
			recoveredAfter = time.Since(start)
		}
		consecutive++
	}
	return recoveredAfter, failed, nil
}

// complete makes a streamed call with a unique prompt, so that any backend server may
// be chosen, and reports whether the answer is complete.
func complete(c *cluster.Cluster, one *entry.Entry, n int) bool {
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
