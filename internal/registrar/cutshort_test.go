package registrar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/registrar"
	"github.com/lovagelift/lovagelift/internal/standin"
)

// A change whose answer breaks off may be in force, whatever the beginning of the answer says.
var _ = DescribeTable("an answer of an instance that is cut short at any byte leaves its operator without a result",
	func(text string) {
		for i := range 2 * len(text) {
			at, reset := i/2, i%2 > 0
			var arrivals atomic.Int32
			c := client("token", serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				arrivals.Add(1)
				_, _ = io.ReadAll(r.Body)
				_ = standin.Cut{At: at, Reset: reset}.Send(w, r, text)
			})))
			what := fmt.Sprintf("%q, reset: %t", text[:at], reset)
			_, err := c.Change(ctx, change(0, "ordinary"))
			Expect(errors.HasType(err, (*registrar.UnknownError)(nil))).To(BeTrue(), what)
			_, err = c.Lift(ctx, nil)
			Expect(errors.HasType(err, (*registrar.UnknownError)(nil))).To(BeTrue(), what)
			_, err = c.Drain(ctx)
			Expect(errors.HasType(err, (*registrar.UnknownError)(nil))).To(BeTrue(), what)
			_, err = c.Quarantined(ctx)
			Expect(err).To(HaveOccurred(), what)
			Expect(arrivals.Load()).To(Equal(int32(4)), what)
		}
	},
	Entry("with a length", "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n{\"revision\":1,\"requests\":[]}"),
	Entry("until close", "HTTP/1.1 200 OK\r\n\r\n{\"revision\":1,\"requests\":[]}"),
	Entry("that refuses", "HTTP/1.1 400 Bad Request\r\nLovagelift-Outcome: not-run\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"18\r\n{\"error\":{\"code\":\"refuse\r\n4\r\nd\"}}\r\n0\r\n\r\n"),
)

// liftBody is the body of a call that releases a request.
var liftBody = fmt.Sprintf(`{"lift":[%q]}`, strings.Repeat("0a", 32))

// fakeQuarantine counts the calls that release requests.
type fakeQuarantine struct {
	lifts atomic.Int32
}

func (*fakeQuarantine) Quarantined(time.Time) ([]quarantine.Listing, error) { return nil, nil }

func (q *fakeQuarantine) Lift(context.Context, []quarantine.Digest) error {
	q.lifts.Add(1)
	return nil
}

// An operator who stops in a call may have meant another one.
var _ = DescribeTable("an operator's call that is cut short at any byte releases nothing from quarantine",
	func(text string) {
		store := &fakeQuarantine{}
		handler := registrar.NewQuarantineHandler(store, time.Now, zerolog.Nop())
		for at := range len(text) + 1 {
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text[:at])))
			if err != nil {
				continue
			}
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			Expect(recorder.Code == http.StatusOK).To(Equal(at == len(text)), "%q", text[:at])
		}
		Expect(store.lifts.Load()).To(Equal(int32(1)), "the whole one")
	},
	Entry("with a length", fmt.Sprintf("POST /operator/v1/quarantine HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(liftBody), liftBody)),
	Entry("in chunks", fmt.Sprintf("POST /operator/v1/quarantine HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(liftBody), liftBody)),
)
