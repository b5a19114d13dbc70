package registrar_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/registrar"
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
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, text[:at])
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
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
