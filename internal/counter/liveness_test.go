package counter_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

const wholeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// respondAndEnd sends a response that ends with its connection and ends the upstream, so that nothing
// listens at its address. The connection is closed as the kernel closes that of a killed process.
func respondAndEnd(contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": "+r.Header.Get(idHeader)+"\r\nContent-Type: "+contentType+"\r\n\r\n"+body)
		r.Context().Value(http.ServerContextKey).(*http.Server).Close()
	}
}

// isVisiblyIncomplete reports whether the caller knows that it has no whole response.
func (v callerView) isVisiblyIncomplete() bool {
	return v.err != nil || v.status == http.StatusBadGateway || v.status == http.StatusServiceUnavailable
}

// A killed process closes its connections like one that has completed its responses.
var _ = DescribeTable("A response until close whose upstream ends with it is visibly incomplete",
	func(ctx SpecContext, path, contentType, body string) {
		for _, way := range []way{direct, throughPeer} {
			view := fetch(ctx, way.start(respondAndEnd(contentType, body)), path)
			Expect(view.isVisiblyIncomplete()).To(BeTrue(), "%s: got %+v", way.name, view)
		}
	},
	Entry("a stream", SpecTimeout(specTimeout), "/write/", eventStream, wholeEvents),
	Entry("a stream that may be resumed", SpecTimeout(specTimeout), "/draft/", eventStream, wholeEvents),
	Entry("a stream of another content type", SpecTimeout(specTimeout), "/write/", "text/plain", wholeEvents),
	Entry("an idempotent request", SpecTimeout(specTimeout), "/look/", "text/plain", "seats 7 and 8"),
	Entry("a request that must not run twice", SpecTimeout(specTimeout), "/book/", "text/plain", "booked"),
	Entry("a large response", SpecTimeout(specTimeout), "/look/", "text/plain", strings.Repeat("seat 7 ", 300_000)),
)

var _ = DescribeTable("A response until close whose upstream does not confirm that it still runs is visibly incomplete",
	func(ctx SpecContext, answer http.HandlerFunc) {
		u := newFakeUpstream(respondUntilClose(eventStream, wholeEvents))
		u.answerLiveness = answer
		Expect(fetch(ctx, newTestProxy(u).server.URL, "/write/").err).To(HaveOccurred())
	},
	Entry("as another process uses its address", SpecTimeout(specTimeout), func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
	}),
	Entry("as its answers are cut short in their heads", SpecTimeout(specTimeout), respondRaw("HTTP/1.1 204 No Content\r\nSpec-Request: ID\r\n")),
	Entry("as it does not answer", SpecTimeout(specTimeout), func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }),
)

// An upstream resets connections beyond those that it accepts.
var _ = It("A response until close is passed on if its upstream confirms that it still runs on a later connection", func(ctx SpecContext) {
	u := newFakeUpstream(respondUntilClose(eventStream, wholeEvents))
	var checks atomic.Int32
	u.answerLiveness = func(w http.ResponseWriter, _ *http.Request) {
		if checks.Add(1) > 1 {
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
		conn.Close()
	}
	view := fetch(ctx, newTestProxy(u).server.URL, "/write/")
	Expect(view.err).NotTo(HaveOccurred())
	Expect(view.body).To(Equal(wholeEvents))
	Expect(view.framing).To(Equal(shuttle.UntilClose))
}, SpecTimeout(specTimeout))

// Many responses of an upstream may end at once.
var _ = It("Liveness checks of one process share the check after the one under way", func(ctx SpecContext) {
	checks := counter.NewLivenessChecks()
	sent, release := make(chan struct{}, 10), make(chan struct{})
	request := func() (wait func() counter.Liveness) {
		return checks.Request(ctx, func() counter.Liveness {
			sent <- struct{}{}
			<-release
			return counter.Alive
		})
	}
	waits := []func() counter.Liveness{request()}
	Eventually(ctx, sent).Should(Receive())
	for range 9 {
		waits = append(waits, request())
	}
	close(release)
	for _, wait := range waits {
		Expect(wait()).To(Equal(counter.Alive))
	}
	Expect(sent).To(HaveLen(1))
}, SpecTimeout(specTimeout))
