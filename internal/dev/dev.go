// Package dev implements jay-dev: it starts a cluster on loopback, prints how to use
// it, and checks that requests are served end to end.
package dev

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/standin/cluster"
)

// Options configure a run. An empty Policy means the default; Out receives the output.
type Options struct {
	Engines int
	Entries int
	Policy  string
	Out     io.Writer
}

const (
	services = 1
	// readyTimeout bounds the wait until the declaration is in force.
	readyTimeout = 15 * time.Second
	checkPause   = 50 * time.Millisecond
	checkBody    = `{"model":"` + cluster.Model + `","stream":true,"max_tokens":8,"messages":[` +
		`{"role":"system","content":"You review hire contracts for crushers."},` +
		`{"role":"user","content":"Who pays when the cone wears out early?"}]}`
)

func start(ctx context.Context, options Options) (*cluster.Cluster, error) {
	return cluster.Start(ctx, cluster.Options{
		Engines: options.Engines, Entries: options.Entries, Services: services, Policy: options.Policy,
	})
}

// Run starts a cluster, prints how to use it and serves until the context ends.
func Run(ctx context.Context, options Options) error {
	c, err := start(ctx, options)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := io.WriteString(options.Out, describe(c)); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// describe returns the cluster's addresses and example commands to paste into a shell.
func describe(c *cluster.Cluster) string {
	var b strings.Builder
	workspace := c.Options.Workspaces[0]
	for i, e := range c.Entries() {
		fmt.Fprintf(&b, "%-10s callers %s  operators %s  admin %s\n", cluster.EntryName(i), e.CallersURL(), e.OperatorsURL(), e.AdminURL())
	}
	for i, a := range c.Agents {
		name := cluster.EngineName(i)
		if app := i - len(c.Engines); app >= 0 {
			name = cluster.ServiceName(app)
		}
		fmt.Fprintf(&b, "%-10s admin %s\n", name, a.AdminURL())
	}
	fmt.Fprintf(&b, "%-10s %s\n%-10s %s\n\n", "platform", c.Platform.URL(), "keys", c.KeysDir)
	url := c.Entries()[0].CallersURL()
	fmt.Fprintf(&b, "A model request, streamed:\n\ncurl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '%s'\n\n",
		url, cluster.Key(workspace), checkBody)
	fmt.Fprintf(&b, "A booking that runs at most once:\n\ncurl %s/services/%s/confirm -H 'Authorization: Bearer %s' -H 'Idempotency-Key: booking-1' -d '{\"crusher\":\"cone-7\"}'\n\n",
		url, cluster.Service, cluster.Key(workspace))
	fmt.Fprintf(&b, "The configuration in force in each process:\n\njayctl status --entry %s --keys %s\n\n",
		strings.TrimPrefix(c.Entries()[0].OperatorsURL(), "https://"), c.OperatorKeys())
	fmt.Fprintln(&b, "Stop with Ctrl-C.")
	return b.String()
}

// SelfCheck starts a cluster, sends one request through each entry and prints the
// number of events received. It fails if an entry does not serve within 15 s.
func SelfCheck(ctx context.Context, options Options) error {
	c, err := start(ctx, options)
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, e := range c.Entries() {
		lines, err := untilServed(ctx, e.CallersURL(), c.Options.Workspaces[0])
		if err != nil {
			return eris.Wrapf(err, "request through %s", cluster.EntryName(i))
		}
		if _, err := fmt.Fprintf(options.Out, "%s: %d events, complete\n", cluster.EntryName(i), lines); err != nil {
			return err
		}
	}
	return nil
}

// untilServed repeats the request until it succeeds, since the declaration takes time
// to reach all processes.
func untilServed(ctx context.Context, url, workspace string) (int, error) {
	for {
		events, err := ask(ctx, url, workspace)
		if err == nil {
			return events, nil
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(checkPause):
		}
	}
}

// ask sends a streamed request and returns its number of events. It fails unless the
// stream is complete.
func ask(ctx context.Context, url, workspace string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(checkBody))
	if err != nil {
		return 0, eris.Wrap(err, "make request")
	}
	request.Header.Set("Authorization", "Bearer "+cluster.Key(workspace))
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, eris.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	events, last := 0, ""
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "data: ") {
			events++
			last = scanner.Text()
		}
	}
	if response.StatusCode != http.StatusOK || last != "data: [DONE]" {
		return 0, eris.Errorf("incomplete answer: status %d, %d events", response.StatusCode, events)
	}
	return events, eris.Wrap(scanner.Err(), "read answer")
}
