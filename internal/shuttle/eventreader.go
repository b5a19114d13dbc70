package shuttle

import (
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// IsEventStream reports whether a response header announces an event stream.
func IsEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// IsPlainEventStream reports whether a response header announces an event stream whose bytes are those of
// its events: it is not compressed.
func IsPlainEventStream(header http.Header) bool {
	encoding := header.Get("Content-Encoding")
	return IsEventStream(header) && (encoding == "" || strings.EqualFold(encoding, "identity"))
}

// EventReader reads the event stream of an upstream. If the stream ends where no complete one ends,
// it returns an error marked as ErrTruncated instead of io.EOF.
type EventReader struct {
	io.ReadCloser
	framing Framing
	scanner EventScanner
	// mayBeEmpty is true if the stream goes on after an event, which may have been the last one.
	mayBeEmpty bool
	// needsDone is true if the stream is complete only with finalEvent, for which tail is kept.
	needsDone bool
	tail      tail
}

// NewEventReader returns an EventReader of a response body with a framing.
func NewEventReader(body io.ReadCloser, framing Framing) *EventReader {
	return &EventReader{ReadCloser: body, framing: framing}
}

// NewResumedEventReader returns an EventReader of the body of a response that resumes a stream after one of
// its events.
func NewResumedEventReader(body io.ReadCloser, framing Framing) *EventReader {
	return &EventReader{ReadCloser: body, framing: framing, mayBeEmpty: true}
}

// Read reads from the stream.
func (r *EventReader) Read(buffer []byte) (int, error) {
	n, err := r.ReadCloser.Read(buffer)
	r.scanner.Scan(buffer[:n])
	if r.needsDone {
		r.tail.add(buffer[:n])
	}
	if err != nil && r.isProvenWhole() {
		return n, io.EOF
	}
	// An error may wrap the io.EOF of another connection.
	if err == io.EOF {
		return n, r.endError()
	}
	return n, err
}

// endError returns the error for a stream that ends here.
func (r *EventReader) endError() error {
	switch {
	case r.scanner.InsideEvent():
		return errors.Wrap(ErrTruncated, "the stream ends inside an event")
	case r.needsDone:
		return errors.Wrap(ErrTruncated, "final event is missing")
	case r.framing == UntilClose && !r.mayBeEmpty && !r.scanner.HasEvent():
		return errors.Wrap(ErrTruncated, "the connection ends before the first event")
	default:
		return io.EOF
	}
}

// isProvenWhole reports whether the stream has ended by its final event, whatever becomes of its
// connection.
func (r *EventReader) isProvenWhole() bool {
	return r.needsDone && !r.scanner.InsideEvent() && r.tail.endsWithFinalEvent()
}

// InsideEvent reports whether the last byte read was inside an event.
func (r *EventReader) InsideEvent() bool {
	return r.scanner.InsideEvent()
}

// Dispatched returns the number of whole events read that have data.
func (r *EventReader) Dispatched() int {
	return r.scanner.Dispatched()
}

// IsEmpty reports whether no event has begun.
func (r *EventReader) IsEmpty() bool {
	return !r.scanner.HasEvent()
}

// HasID reports whether an event has an ID, at which the stream can be resumed.
func (r *EventReader) HasID() bool {
	return r.scanner.HasID()
}
