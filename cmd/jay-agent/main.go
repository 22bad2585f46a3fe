// Command jay-agent runs beside one backend server: it admits requests, passes
// them to the engine or service and relays the responses.
package main

import (
	"context"

	"github.com/jayproxy/jayproxy/internal/agent"
	"github.com/jayproxy/jayproxy/internal/cli"
	"github.com/jayproxy/jayproxy/internal/engine/dialect"
	"github.com/jayproxy/jayproxy/internal/settings"
)

func main() {
	cli.Main(cli.ServeCommand("jay-agent", "The process beside one backend server", start))
}

func start(ctx context.Context, file string) (cli.Server, error) {
	s := agent.Default()
	s.OpenEngine = dialect.Open
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	return agent.Start(ctx, s)
}
