package shuttle

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

// PrefetchEvent reads the beginning of response, a plain event stream, up to the end of its first event or
// comment, so that nothing is sent to the caller before. Of a longer event it reads relayBufferBytes.
// For needsDone see StreamBody. If the stream is truncated before, PrefetchEvent returns a *Error
// marked as ErrTruncated and closes the body.
func PrefetchEvent(response *Response, needsDone bool) error {
	events := NewEventReader(response.Body, response.Framing)
	events.needsDone = needsDone
	buffer := make([]byte, relayBufferBytes)
	stream, read := io.Reader(events), 0
	rest := io.Reader(response.Body)
	for read < len(buffer) && !events.scanner.hasEnded {
		n, err := stream.Read(buffer[read:])
		read += n
		if err != nil && err != io.EOF && !events.scanner.hasEnded {
			response.Body.Close()
			return &Error{Outcome: outcome.Ran, cause: errors.Mark(err, ErrTruncated)}
		}
		if err != nil {
			rest = failedReader{err: err}
			break
		}
	}
	response.Body = &prefixedBody{
		Reader: io.MultiReader(bytes.NewReader(buffer[:read]), rest),
		ahead:  &ReadAhead{}, rest: response.Body,
	}
	return nil
}

// failedReader is a reader whose reads fail with err.
type failedReader struct {
	err error
}

// Read returns the error.
func (r failedReader) Read([]byte) (int, error) {
	return 0, r.err
}
