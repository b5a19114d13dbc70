package shuttle

import (
	"io"
	"mime"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// AnnouncesEvents reports whether a response header announces an event stream.
func AnnouncesEvents(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// IsEventStream reports whether a response header announces an event stream whose events can be read.
func IsEventStream(header http.Header) bool {
	return AnnouncesEvents(header) && !isEncoded(header)
}

// isEncoded reports whether a body has a content encoding, such as a compression.
func isEncoded(header http.Header) bool {
	return slices.ContainsFunc(header.Values("Content-Encoding"), func(encoding string) bool {
		return encoding != "" && !strings.EqualFold(encoding, "identity")
	})
}

// EventReader reads the event stream of an upstream. If the stream ends where no complete one ends,
// it returns an error marked as ErrTruncated instead of io.EOF.
type EventReader struct {
	io.ReadCloser
	framing Framing
	scanner EventScanner
}

// NewEventReader returns an EventReader of a response body with a framing.
func NewEventReader(body io.ReadCloser, framing Framing) *EventReader {
	return &EventReader{ReadCloser: body, framing: framing}
}

// Read reads from the stream.
func (r *EventReader) Read(buffer []byte) (int, error) {
	n, err := r.ReadCloser.Read(buffer)
	r.scanner.Scan(buffer[:n])
	if errors.Is(err, io.EOF) {
		err = r.endError()
	}
	return n, err
}

// endError returns the error for a stream that ends here.
func (r *EventReader) endError() error {
	switch {
	case r.scanner.InsideEvent():
		return errors.Wrap(ErrTruncated, "the stream ends inside an event")
	case r.framing == UntilClose && !r.scanner.HasEvent():
		return errors.Wrap(ErrTruncated, "the connection ends before the first event")
	default:
		return io.EOF
	}
}

// InsideEvent reports whether the last byte read was inside an event.
func (r *EventReader) InsideEvent() bool {
	return r.scanner.InsideEvent()
}
