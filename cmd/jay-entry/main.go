// Command jay-entry runs an entry: the callers' API in front of the backend servers.
package main

import (
	"context"

	"github.com/jayproxy/jayproxy/internal/cli"
	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/settings"
)

func main() {
	cli.Main(cli.ServeCommand("jay-entry", "Route callers' requests to the backend servers", start))
}

func start(ctx context.Context, file string) (cli.Server, error) {
	s := entry.Default()
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	return entry.Start(ctx, s)
}
