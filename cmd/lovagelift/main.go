// Command lovagelift runs lovagelift instances and provides the operators'
// commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/lovagelift/lovagelift/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	exitCode := command.Run(ctx, os.Args[1:], command.Streams{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(exitCode)
}
