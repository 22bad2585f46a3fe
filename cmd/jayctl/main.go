// Command jayctl is the command line for operators; see package ctl.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jayproxy/jayproxy/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
