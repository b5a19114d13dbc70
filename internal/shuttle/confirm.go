package shuttle

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const (
	// confirmTimeout limits ConfirmFinished, and thereby how long an upstream may take to state that a
	// request has finished after it has closed the connection.
	confirmTimeout = time.Second
	// confirmInterval is the interval between two status queries of ConfirmFinished.
	confirmInterval = 20 * time.Millisecond
	// listenTime is how long a new connection must stay open. The kernel closes the connections of a
	// killed process one after the other, and its listener may come last of thousands.
	listenTime = 100 * time.Millisecond
)

// ConfirmFinished returns nil if the upstream at address has finished a request whose response ended
// with its connection, as far as can be told: if it reports the status of requests, it must state
// that. Otherwise it must accept a connection. If neither holds, ConfirmFinished returns an error
// marked as ErrTruncated.
func (p *Proxy) ConfirmFinished(ctx context.Context, address string, request Request) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := errNoStatus
	if request.SupportsStatusQuery {
		err = p.confirmStatus(ctx, address, request.ID)
	}
	if errors.Is(err, errNoStatus) {
		err = p.confirmListening(ctx, address)
	}
	if err != nil {
		return errors.Mark(errors.Wrap(err, "the end of the response is not confirmed"), ErrTruncated)
	}
	return nil
}

// confirmStatus returns nil once the upstream states that a request has finished.
func (p *Proxy) confirmStatus(ctx context.Context, address, id string) error {
	for {
		status, err := p.fetchStatus(ctx, address, id)
		switch {
		case err != nil:
			return err
		case status.State == upstreamapi.RequestFinished:
			return nil
		case status.State != upstreamapi.RequestWaiting && status.State != upstreamapi.RequestRunning:
			return errors.Newf("upstream states that the request is %s", status.State)
		case !pause.For(ctx, confirmInterval):
			return errors.Newf("upstream states that the request is still %s", status.State)
		}
	}
}

// confirmListening returns nil if a process accepts connections at address, and keeps them open.
func (p *Proxy) confirmListening(ctx context.Context, address string) error {
	conn, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(listenTime)); err != nil {
		return err
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Wrap(err, "a new connection ended")
	}
	return nil
}
