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

// silentCaller is the writer of a caller that takes in some pieces and then
// nothing more: a write returns only once a deadline that has passed is set.
type silentCaller struct {
	*httptest.ResponseRecorder
	takes   int
	passed  chan struct{}
	passing sync.Once
}

func (c *silentCaller) SetWriteDeadline(deadline time.Time) error {
	if deadline.Before(time.Now()) {
		c.passing.Do(func() { close(c.passed) })
	}
	return nil
}

func (c *silentCaller) Write(piece []byte) (int, error) {
	if c.takes == 0 {
		<-c.passed
		return 0, os.ErrDeadlineExceeded
	}
	c.takes--
	return c.ResponseRecorder.Write(piece)
}

// closing is a body that tells whether it was closed.
type closing struct {
	io.Reader
	closed bool
}

func (c *closing) Close() error {
	c.closed = true
	return nil
}

var _ = Describe("a caller that goes silent", func() {
	// A caller keeps its connection open and takes nothing in any more, because
	// something between it and the instance has lost track. Each write is watched
	// over, so the stream ends, the upstream's body is closed, and a planned stop
	// does not wait for it for good.
	DescribeTable("ends its stream, whichever write it leaves open",
		func(_ SpecContext, takes int) {
			caller := &silentCaller{ResponseRecorder: httptest.NewRecorder(), takes: takes, passed: make(chan struct{})}
			body := &closing{Reader: strings.NewReader(strings.Repeat("data: {}\n\n", 10_000))}
			err := shuttle.StreamWithin(caller, &shuttle.Answer{Status: http.StatusOK, Body: body}, true, 20*time.Millisecond)
			Expect(err).To(MatchError(os.ErrDeadlineExceeded))
			Expect(caller.takes).To(BeZero())
			Expect(body.closed).To(BeTrue())
		},
		Entry("the first", SpecTimeout(specTimeout), 0),
		Entry("a later one", SpecTimeout(specTimeout), 3),
	)
})
