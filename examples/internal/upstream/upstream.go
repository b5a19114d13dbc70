// Package upstream runs a test double of an upstream as a process with graceful
// shutdown on a signal.
package upstream

import (
	"context"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// headerTimeout limits the time to read the headers of a request.
	headerTimeout = 5 * time.Second
	// leaveTimeout limits the call that announces the shutdown to an instance.
	leaveTimeout = 2 * time.Second
	// stopTimeout limits the time for active requests to end.
	stopTimeout = 60 * time.Second
)

// Upstream is a test double that can be served and shut down.
type Upstream interface {
	http.Handler
	// Close stops announcing and notifies an instance of the shutdown.
	Close(ctx context.Context) error
}

// Serve listens on address and serves the upstream that build returns for the
// actual address, until ctx ends or the process receives SIGINT or SIGTERM.
// Then it closes the upstream, and returns once the active requests have ended
// or stopTimeout has passed.
func Serve(ctx context.Context, address string, build func(address string) Upstream) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "upstream: listen")
	}
	up := build(listener.Addr().String())
	server := &http.Server{Handler: up, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() {
		failed <- server.Serve(listener)
	}()
	select {
	case err := <-failed:
		return errors.Wrap(err, "upstream: serve")
	case <-ctx.Done():
	}
	return shutdown(server, up)
}

// shutdown announces the shutdown before it stops serving, so that no instance
// sends new requests to a closed listener.
func shutdown(server *http.Server, up Upstream) error {
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	closeErr := up.Close(leaveCtx)
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	return errors.CombineErrors(closeErr, errors.Wrap(server.Shutdown(stopCtx), "upstream: stop"))
}
