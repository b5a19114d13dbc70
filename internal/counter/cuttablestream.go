package counter

import (
	"io"

	"github.com/lovagelift/lovagelift/internal/shutdown"
)

// cuttableStream is the body of a stream that may be resumed. It ends with shutdown.ErrStopping after an event, once the
// instance is about to stop.
type cuttableStream struct {
	io.ReadCloser
	transaction *transaction
	attempt     *upstreamAttempt
}

// Read reads from the stream.
func (s cuttableStream) Read(buffer []byte) (int, error) {
	p := s.transaction.proxy
	if p.drainBegun.Err() != nil && !s.attempt.events.InsideEvent() && p.shutdown.CutsStreams(p.options.Now()) {
		return 0, shutdown.ErrStopping
	}
	return s.ReadCloser.Read(buffer)
}

// withCut returns the body of a stream, which is cut between two events before the instance stops if its caller may
// resume it.
func (t *transaction) withCut(a *upstreamAttempt, body io.ReadCloser) io.ReadCloser {
	if !t.route.HasResumableStreams() || a.events == nil {
		return body
	}
	return cuttableStream{ReadCloser: body, transaction: t, attempt: a}
}
