package shuttle_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// stalledCaller is the response writer of a caller that accepts some writes and then stops reading.
// Later writes block until a write deadline in the past is set.
type stalledCaller struct {
	*httptest.ResponseRecorder
	acceptedWrites int
	deadlinePassed chan struct{}
	closeOnce      sync.Once
}

func (c *stalledCaller) SetWriteDeadline(deadline time.Time) error {
	if deadline.Before(time.Now()) {
		c.closeOnce.Do(func() { close(c.deadlinePassed) })
	}
	return nil
}

func (c *stalledCaller) Write(piece []byte) (int, error) {
	if c.acceptedWrites == 0 {
		<-c.deadlinePassed
		return 0, os.ErrDeadlineExceeded
	}
	c.acceptedWrites--
	return c.ResponseRecorder.Write(piece)
}

// closeRecorder is a body that records whether it was closed.
type closeRecorder struct {
	io.Reader
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}

var _ = Describe("a caller that goes silent", func() {
	// A caller keeps its connection open but stops reading, for example because a device on the
	// path has dropped the connection's state. Without a write timeout, the stream would stay open
	// forever, and a planned shutdown would wait for it. The write must fail and the upstream's
	// body must be closed.
	DescribeTable("ends its stream, whichever write it leaves open",
		func(_ SpecContext, acceptedWrites int) {
			caller := &stalledCaller{ResponseRecorder: httptest.NewRecorder(), acceptedWrites: acceptedWrites, deadlinePassed: make(chan struct{})}
			body := &closeRecorder{Reader: strings.NewReader(strings.Repeat("data: {}\n\n", 10_000))}
			err := shuttle.StreamWithTimeout(caller, &shuttle.Response{Status: http.StatusOK, Body: body}, true, 20*time.Millisecond)
			Expect(err).To(MatchError(os.ErrDeadlineExceeded))
			Expect(caller.acceptedWrites).To(BeZero())
			Expect(body.closed).To(BeTrue())
		},
		Entry("the first", SpecTimeout(specTimeout), 0),
		Entry("a later one", SpecTimeout(specTimeout), 3),
	)
})

// The timer of a write that times out at once may run before the stream has begun.
var _ = It("A stream that times out at once is ended", func() {
	for range 200 {
		caller := &stalledCaller{ResponseRecorder: httptest.NewRecorder(), deadlinePassed: make(chan struct{})}
		body := &closeRecorder{Reader: strings.NewReader("data: {}\n\n")}
		err := shuttle.StreamWithTimeout(caller, &shuttle.Response{Status: http.StatusOK, Body: body}, true, time.Nanosecond)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	}
})
