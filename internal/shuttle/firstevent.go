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
	return prefetchUntil(response, events, func(int) bool { return events.scanner.hasEnded })
}

// PrefetchFirstByte reads the beginning of response, so that nothing is sent to the caller before. If the body is
// truncated before its first byte, PrefetchFirstByte returns a *Error marked as ErrTruncated and closes the body.
func PrefetchFirstByte(response *Response) error {
	return prefetchUntil(response, response.Body, func(bytes int) bool { return bytes > 0 })
}

// prefetchUntil reads the beginning of response from body until isEnough reports true of the number of bytes. It
// reads relayBufferBytes at most. If body fails before, prefetchUntil returns a *Error and closes the body.
func prefetchUntil(response *Response, body io.Reader, isEnough func(bytes int) bool) error {
	buffer, read := make([]byte, relayBufferBytes), 0
	rest := io.Reader(response.Body)
	for read < len(buffer) && !isEnough(read) {
		n, err := body.Read(buffer[read:])
		read += n
		if err != nil && err != io.EOF && !isEnough(read) {
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
