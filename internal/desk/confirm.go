package desk

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// withConfirmedEnd returns the body of a response to a request with an end that is confirmed by the
// upstream if the response ends with its connection: a killed process closes its connections like one
// that has finished. The final event of a completion needs no confirmation.
func (s *Server) withConfirmedEnd(
	ctx context.Context, task task, request shuttle.Request, endpoint quarantine.Endpoint, response *shuttle.Response,
) io.ReadCloser {
	if response.Framing != shuttle.UntilClose || task.needsDoneEvent && shuttle.IsEventStream(response.Header) {
		return response.Body
	}
	request.ID = response.RequestID
	return shuttle.ConfirmEnd(response.Body, func() error { return s.confirmEnd(ctx, request, endpoint) })
}

// confirmEnd returns nil if the process that has sent the response to a request still runs and has
// finished the request, as far as can be told.
func (s *Server) confirmEnd(ctx context.Context, request shuttle.Request, endpoint quarantine.Endpoint) error {
	if err := s.options.Proxy.ConfirmFinished(ctx, endpoint.Address, request); err != nil {
		return err
	}
	known, found := s.options.Instance.Upstream(endpoint.Upstream)
	if found && known.Announcement.Incarnation > endpoint.Incarnation {
		return errors.Wrap(shuttle.ErrTruncated, "another process has taken over the upstream's name")
	}
	return nil
}
