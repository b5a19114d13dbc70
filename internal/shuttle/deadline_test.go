package shuttle_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// silentCaller is the writer of a caller that takes in some pieces and then
// nothing more. A write without a deadline would never return.
type silentCaller struct {
	*httptest.ResponseRecorder
	takes    int
	deadline time.Time
	// unbounded counts the writes for which no deadline was set since the last.
	unbounded int
}

func (c *silentCaller) SetWriteDeadline(deadline time.Time) error {
	c.deadline = deadline
	return nil
}

func (c *silentCaller) Write(piece []byte) (int, error) {
	if c.deadline.IsZero() {
		c.unbounded++
	}
	c.deadline = time.Time{}
	if c.takes == 0 {
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
	// something between it and the instance has lost track. Each write has a
	// deadline, so the stream ends, the upstream's body is closed, and a planned
	// stop does not wait for it for good.
	It("ends its stream, each write of which has a deadline", func() {
		caller := &silentCaller{ResponseRecorder: httptest.NewRecorder(), takes: 3}
		body := &closing{Reader: strings.NewReader(strings.Repeat("data: {}\n\n", 10_000))}
		err := shuttle.Stream(caller, &shuttle.Answer{Status: http.StatusOK, Body: body}, true)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		Expect(caller.unbounded).To(BeZero())
		Expect(caller.takes).To(BeZero())
		Expect(body.closed).To(BeTrue())
	})
})
