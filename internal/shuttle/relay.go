package shuttle

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

// relayBufferBytes holds the events of many tokens, and is small enough for thousands of open
// streams.
const relayBufferBytes = 8 << 10

// writeTimeout limits one write to a caller.
const writeTimeout = 30 * time.Second

// finalEvent is the data of the last event of a complete stream in the OpenAI API.
const finalEvent = "[DONE]"

// ErrTruncated marks the Error of a response that ended before it was complete. Use errors.Is.
var ErrTruncated = errors.New("upstream response was truncated")

// ErrInsideEvent marks the Error of an event stream that was truncated inside an event, of which a part
// has been relayed. Whatever is written after it would become part of that event. Use errors.Is.
var ErrInsideEvent = errors.New("event was relayed in part")

// Prefetch reads the whole body of response if it has at most limit bytes, so that nothing is sent
// to the caller before the body is complete. A larger body is streamed to the caller from its first byte
// on, and so is any while the prefetched bodies of other responses take up the memory of the Proxy. If
// the body is truncated before, Prefetch returns a *Error and closes the body.
func Prefetch(response *Response, limit int64) error {
	if response.Length > limit {
		return PrefetchFirstByte(response)
	}
	ahead, err := ReadBody(response.Body, response.Length, limit+1, response.prefetchBudget)
	if err != nil {
		ahead.Release()
		response.Body.Close()
		return &Error{Outcome: outcome.Ran, cause: errors.Mark(err, ErrTruncated)}
	}
	if ahead.Whole {
		response.prefetched = ahead.Bytes
	}
	response.Body = &prefixedBody{
		Reader: io.MultiReader(bytes.NewReader(ahead.Bytes), response.Body),
		ahead:  ahead, rest: response.Body,
	}
	return nil
}

// prefixedBody is a body whose beginning has already been read.
type prefixedBody struct {
	io.Reader
	ahead *ReadAhead
	rest  io.Closer
}

// Close returns the memory of the beginning and closes the rest.
func (b *prefixedBody) Close() error {
	b.ahead.Release()
	return b.rest.Close()
}

// WriteHeader writes the status and the headers of response to w.
func WriteHeader(w http.ResponseWriter, response *Response) {
	header := w.Header()
	for name, values := range EndToEndHeader(response.Header) {
		header[name] = values
	}
	w.WriteHeader(response.Status)
}

// StreamBody relays the body of response to w, and flushes after each read. If the upstream's body
// ends before it is complete, StreamBody returns a *Error marked as ErrTruncated. If a write to the
// caller fails, StreamBody returns its error.
//
// If needsDone is true, the body is an event stream that is complete only if "data: [DONE]" is its last
// event: a crashing engine may close its connection in the same way as one that has finished. Other
// event streams are incomplete if they end inside an event, unless they are compressed.
func StreamBody(w http.ResponseWriter, response *Response, needsDone bool) error {
	return streamWithTimeout(w, response, needsDone, writeTimeout)
}

func streamWithTimeout(w http.ResponseWriter, response *Response, needsDone bool, timeout time.Duration) error {
	defer response.Body.Close()
	body := io.Reader(response.Body)
	if needsDone || IsPlainEventStream(response.Header) {
		events := NewEventReader(response.Body, response.Framing)
		events.needsDone = needsDone
		body = events
	}
	writer := newFlushingWriter(w, timeout)
	defer writer.watchdog.stop()
	buffer := make([]byte, relayBufferBytes)
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			if err := writer.write(buffer[:n]); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return truncatedError(body, readErr)
		}
	}
}

// truncatedError returns the Error for a response whose body failed with cause.
func truncatedError(body io.Reader, cause error) *Error {
	cause = errors.Mark(cause, ErrTruncated)
	if events, ok := body.(*EventReader); ok && events.InsideEvent() {
		cause = errors.Mark(cause, ErrInsideEvent)
	}
	return &Error{Outcome: outcome.Ran, cause: cause}
}

// flushingWriter writes to a caller and flushes after each write.
type flushingWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	watchdog   *watchdog
}

// newFlushingWriter returns a writer that fails once a write takes longer than timeout. A caller
// that has stopped reading would otherwise block a planned shutdown forever.
func newFlushingWriter(w http.ResponseWriter, timeout time.Duration) *flushingWriter {
	controller := http.NewResponseController(w)
	return &flushingWriter{writer: w, controller: controller, watchdog: newWatchdog(timeout, func() {
		// A deadline in the past ends the write. Only writers in tests do not support deadlines.
		_ = controller.SetWriteDeadline(time.Unix(1, 0))
	})}
}

func (f *flushingWriter) write(piece []byte) error {
	f.watchdog.begin()
	defer f.watchdog.end()
	if _, err := f.writer.Write(piece); err != nil {
		return errors.Wrap(err, "shuttle: writing to the caller")
	}
	return errors.Wrap(f.controller.Flush(), "shuttle: flushing to the caller")
}

// tailBytes is sufficient for finalEvent and the line ends around it.
const tailBytes = 32

// tail holds the last bytes of a stream.
type tail struct {
	buffer [tailBytes]byte
	n      int
}

func (t *tail) add(piece []byte) {
	if len(piece) >= tailBytes {
		t.n = copy(t.buffer[:], piece[len(piece)-tailBytes:])
		return
	}
	kept := min(t.n, tailBytes-len(piece))
	copy(t.buffer[:], t.buffer[t.n-kept:t.n])
	copy(t.buffer[kept:], piece)
	t.n = kept + len(piece)
}

// endsWithFinalEvent reports whether the last line with a text is that of the final event.
func (t *tail) endsWithFinalEvent() bool {
	line := bytes.TrimRight(t.buffer[:t.n], "\r\n")
	line = line[bytes.LastIndexAny(line, "\r\n")+1:]
	value, ok := bytes.CutPrefix(line, []byte("data:"))
	return ok && string(bytes.TrimPrefix(value, []byte(" "))) == finalEvent
}
