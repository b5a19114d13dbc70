package foreman_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/foreman"
	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// An order whose answer breaks off may still be carried out.
var _ = DescribeTable("an answer to an order that is cut short at any byte is none, and the order counts as sent",
	func(ctx SpecContext, text string) {
		for i := range 2*len(text) + 1 {
			at, reset := i/2, i%2 > 0
			var arrivals atomic.Int32
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				arrivals.Add(1)
				_, _ = io.ReadAll(r.Body)
				_ = standin.Cut{At: at, Reset: reset}.Send(w, r, text)
			}))
			_, err := foreman.SendOrder(ctx, &http.Client{}, engine.Listener.Addr().String(), upstreamapi.Order{ID: "o1"})
			engine.Close()
			what := fmt.Sprintf("%q, reset: %t", text[:at], reset)
			Expect(err != nil).To(Equal(at < len(text)), what)
			Expect(errors.Is(err, foreman.ErrNotSent)).To(BeFalse(), what)
			Expect(arrivals.Load()).To(Equal(int32(1)), what)
		}
	},
	Entry("with a length", SpecTimeout(time.Minute), "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n{\"id\":\"o1\",\"state\":\"done\"}"),
	Entry("in chunks", SpecTimeout(time.Minute), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1a\r\n{\"id\":\"o1\",\"state\":\"done\"}\r\n0\r\n\r\n"),
	Entry("until close", SpecTimeout(time.Minute), "HTTP/1.1 200 OK\r\n\r\n{\"id\":\"o1\",\"state\":\"done\"}"),
)
