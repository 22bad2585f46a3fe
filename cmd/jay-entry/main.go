// Command jay-entry runs an entry, which serves the callers' API in front of the
// backend servers.
package main

import (
	"context"

	"github.com/jayproxy/jayproxy/internal/activation"
	"github.com/jayproxy/jayproxy/internal/cli"
	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/settings"
)

// callersSocket is the name of the callers' socket in socket activation.
const callersSocket = "callers"

func main() {
	cli.Main(cli.ServeCommand("jay-entry", "Route callers' requests to the backend servers", start))
}

func start(ctx context.Context, file string) (cli.Server, error) {
	s := entry.Default()
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	listener, err := activation.Listener(callersSocket)
	if err != nil {
		return nil, err
	}
	s.CallersListener = listener
	return entry.Start(ctx, s)
}
