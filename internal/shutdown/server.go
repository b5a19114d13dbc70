package shutdown

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/pause"
)

// HeadTime is how long the heads of requests may take on connections that were accepted last. They are sent at once.
const HeadTime = 250 * time.Millisecond

// idlePollInterval bounds the time until an end of the last active request is noticed. http.Server polls every 500 ms.
const idlePollInterval = 30 * time.Millisecond

// StopServer stops a server after its active requests end. It closes the listener, and headTime later the idle
// connections: http.Server closes without an answer those whose next request it reads after Shutdown has begun. If
// ctx ends first, StopServer returns its error.
func StopServer(ctx context.Context, server *http.Server, listener net.Listener, headTime time.Duration) error {
	// An error means that the listener is closed.
	_ = listener.Close()
	pause.For(ctx, headTime)
	for {
		poll, cancel := context.WithTimeout(ctx, idlePollInterval)
		err := server.Shutdown(poll)
		cancel()
		switch {
		case err == nil, errors.Is(err, net.ErrClosed):
			// The server may not have noticed yet that its listener is closed.
			return nil
		case ctx.Err() != nil:
			return err
		}
	}
}
