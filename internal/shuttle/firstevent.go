package shuttle

import (
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

// prefetchUntil reads the beginning of response from body until isEnough reports true of the number of bytes. If body
// fails before, prefetchUntil returns a *Error and closes the body.
func prefetchUntil(response *Response, body io.Reader, isEnough func(bytes int) bool) error {
	beginning := ReadBeginning(body, response.Body, relayBufferBytes, isEnough)
	if beginning.Err != nil && !isEnough(beginning.Bytes) {
		response.Body.Close()
		return &Error{Outcome: outcome.Ran, cause: errors.Mark(beginning.Err, ErrTruncated)}
	}
	response.Body = &prefixedBody{Reader: beginning, ahead: &ReadAhead{}, rest: response.Body}
	return nil
}
