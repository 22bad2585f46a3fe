package experiment

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/load"
	"github.com/jayproxy/jayproxy/internal/standin/cluster"
)

const (
	readyTimeout = 20 * time.Second
	readyPause   = 50 * time.Millisecond
)

// awaitReady sends probe calls until every entry returns a complete answer.
func awaitReady(ctx context.Context, c *cluster.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	call := load.Call{Workspace: c.Options.Workspaces[0], Parts: []string{"Ready?"}, Output: 1}
	for _, e := range c.Entries() {
		target := load.Target{URLs: func() []string { return []string{e.CallersURL()} }, Key: cluster.Key, Model: cluster.Model}
		for {
			samples := load.Send(ctx, []load.Call{call}, target)
			if len(samples) == 1 && samples[0].Complete {
				break
			}
			select {
			case <-ctx.Done():
				return eris.Wrap(ctx.Err(), "cluster did not become ready")
			case <-time.After(readyPause):
			}
		}
	}
	return nil
}
