// Package upstream runs a stand-in upstream as a process: it listens, announces,
// and stops gracefully on a signal.
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
	// headerTimeout bounds the time in which the headers of a request arrive.
	headerTimeout = 5 * time.Second
	// leaveTimeout bounds the call that says the upstream leaves.
	leaveTimeout = 2 * time.Second
	// stopTimeout bounds the time that running requests are given to end.
	stopTimeout = 60 * time.Second
)

// Upstream is a stand-in that can be served and stopped.
type Upstream interface {
	http.Handler
	// Close stops announcing and tells an instance that the upstream leaves.
	Close(ctx context.Context) error
}

// Serve listens on address, starts the upstream that build returns for the
// address it listens on, and serves it until ctx ends or the process gets an
// interrupt or termination signal. Then the upstream leaves, and Serve returns
// once the running requests have ended.
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

// shutdown leaves before it stops serving, so that no instance sends new work to
// a closed listener.
func shutdown(server *http.Server, up Upstream) error {
	leaving, cancelLeaving := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeaving()
	left := up.Close(leaving)
	stopping, cancelStopping := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStopping()
	return errors.CombineErrors(left, errors.Wrap(server.Shutdown(stopping), "upstream: stop"))
}
