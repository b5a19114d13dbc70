package shuttle

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

// relayBufferBytes holds many tokens' events and is small enough for thousands
// of open streams.
const relayBufferBytes = 8 << 10

// writeTimeout is how long a caller may take to take in one piece.
const writeTimeout = 30 * time.Second

// endOfStream is the last event of a whole stream of the OpenAI interface.
var endOfStream = []byte("data: [DONE]")

// ErrCutOff is wrapped by the Error of an answer that ended before it was
// whole.
var ErrCutOff = errors.New("the upstream's answer was cut off")

// Prefetch reads the whole body of answer if it has at most limit bytes, so that
// nothing goes to the caller before all of it is here. If the body is larger,
// the caller gets it as it comes. If the body is cut off within limit bytes,
// Prefetch returns a *Error and closes the body.
func Prefetch(answer *Answer, limit int64) error {
	if answer.Length > limit {
		return nil
	}
	prefix, err := io.ReadAll(io.LimitReader(answer.Body, limit+1))
	if err != nil {
		answer.Body.Close()
		return &Error{Outcome: outcome.Ran, cause: errors.Mark(err, ErrCutOff)}
	}
	if int64(len(prefix)) <= limit {
		answer.whole = prefix
	}
	answer.Body = &prefixed{
		Reader: io.MultiReader(bytes.NewReader(prefix), answer.Body),
		Closer: answer.Body,
	}
	return nil
}

// prefixed is a body of which a part was read ahead.
type prefixed struct {
	io.Reader
	io.Closer
}

// Head writes the status and the headers of answer to w.
func Head(w http.ResponseWriter, answer *Answer) {
	header := w.Header()
	for name, values := range Forwardable(answer.Header) {
		header[name] = values
	}
	w.WriteHeader(answer.Status)
}

// Stream relays the body of answer to w as it comes, each piece flushed at
// once. If the upstream's body ends before it is whole, Stream returns a
// *Error that wraps ErrCutOff. If the caller went away, Stream returns the
// error of writing.
//
// If events is true, the body is a stream of events and is whole only if its
// last event was "data: [DONE]": an engine that dies may end its connection
// like one that has finished.
func Stream(w http.ResponseWriter, answer *Answer, events bool) error {
	return stream(w, answer, events, writeTimeout)
}

func stream(w http.ResponseWriter, answer *Answer, events bool, timeout time.Duration) error {
	defer answer.Body.Close()
	out := newPiecewise(w, timeout)
	defer out.watch.stop()
	buffer := make([]byte, relayBufferBytes)
	var end tail
	for {
		n, readErr := answer.Body.Read(buffer)
		if n > 0 {
			end.add(buffer[:n])
			if err := out.write(buffer[:n]); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			break
		}
		if readErr != nil {
			return &Error{Outcome: outcome.Ran, cause: errors.Mark(readErr, ErrCutOff)}
		}
	}
	if events && !end.whole() {
		return &Error{Outcome: outcome.Ran, cause: errors.Wrap(ErrCutOff, "no last event")}
	}
	return nil
}

// piecewise writes pieces to a caller, each at once.
type piecewise struct {
	out     http.ResponseWriter
	control *http.ResponseController
	watch   *watch
}

// newPiecewise returns a writer that fails once a piece takes longer than
// timeout. A caller that went silent takes nothing any more, and its stream would
// hold up a planned stop for good.
func newPiecewise(w http.ResponseWriter, timeout time.Duration) *piecewise {
	control := http.NewResponseController(w)
	return &piecewise{out: w, control: control, watch: newWatch(timeout, func() {
		// A deadline that has passed ends the write. A writer that knows none is a
		// test's.
		_ = control.SetWriteDeadline(time.Unix(1, 0))
	})}
}

func (p *piecewise) write(piece []byte) error {
	p.watch.enter()
	defer p.watch.leave()
	if _, err := p.out.Write(piece); err != nil {
		return errors.Wrap(err, "shuttle: writing to the caller")
	}
	return errors.Wrap(p.control.Flush(), "shuttle: flushing to the caller")
}

// tailBytes is enough for endOfStream and the line ends around it.
const tailBytes = 32

// tail holds the last bytes of a stream.
type tail struct {
	held [tailBytes]byte
	n    int
}

func (t *tail) add(piece []byte) {
	if len(piece) >= tailBytes {
		t.n = copy(t.held[:], piece[len(piece)-tailBytes:])
		return
	}
	keep := min(t.n, tailBytes-len(piece))
	copy(t.held[:], t.held[t.n-keep:t.n])
	copy(t.held[keep:], piece)
	t.n = keep + len(piece)
}

func (t *tail) whole() bool {
	trimmed := bytes.TrimRight(t.held[:t.n], "\r\n")
	return bytes.HasSuffix(trimmed, endOfStream)
}
