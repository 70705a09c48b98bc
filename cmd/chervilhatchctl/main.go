// Command chervilhatchctl is the command-line client for operators of chervilhatch.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchctl/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
