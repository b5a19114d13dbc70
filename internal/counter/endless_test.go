package counter_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/pause"
)

// longHead is a response that is complete but for its head, which is longer than any sound one.
var longHead = "HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nContent-Length: 4\r\nX-Long: " +
	strings.Repeat("x", 200<<10) + "\r\n\r\nlong"

// endlessInterim sends interim responses without an end.
func endlessInterim(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	for {
		if _, err := io.WriteString(conn, "HTTP/1.1 102 Processing\r\nX-More: 1\r\n\r\n"); err != nil {
			return
		}
	}
}

// endlessBody sends a body without an end.
func endlessBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	piece := make([]byte, 32<<10)
	for {
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

// slowBody sends a byte of a long body from time to time.
func slowBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	w.Header().Set("Content-Length", "100000")
	for r.Context().Err() == nil {
		if _, err := w.Write([]byte("x")); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		pause.For(r.Context(), 10*time.Millisecond)
	}
}

// readAndLeave sends a request and leaves after limit bytes of the response.
func readAndLeave(ctx context.Context, url, path string, limit int64) {
	GinkgoHelper()
	response, err := post(ctx, url, path)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, limit))
}

var _ = Describe("A response without an end", func() {
	// An instance read ten megabytes of each such head before it gave up.
	DescribeTable("in its head fails, and its upstream is avoided",
		func(ctx SpecContext, faulty http.HandlerFunc) {
			endless, sound := newFakeUpstream(faulty), newFakeUpstream(succeed)
			p := newTestProxy(endless, sound)
			for range 20 {
				response, body, err := p.send(ctx, http.MethodGet, "/look/", "")
				Expect(err).NotTo(HaveOccurred())
				Expect(response.StatusCode).To(Equal(http.StatusOK))
				Expect(body).To(HavePrefix("GET"), "answered by the sound one")
			}
			Expect(endless.count()).To(And(BeNumerically(">", 0), BeNumerically("<=", 3)))
		},
		Entry("of a long header", respondAfterReading(longHead)),
		Entry("of interim responses", http.HandlerFunc(endlessInterim)),
	)

	// Callers left after some megabytes, which counted as a success of the upstream.
	DescribeTable("in its body counts as the upstream's failure when the caller leaves",
		func(ctx SpecContext, path string) {
			endless, sound := newFakeUpstream(endlessBody), newFakeUpstream(succeed)
			p := newTestProxy(endless, sound)
			for range 20 {
				readAndLeave(ctx, p.server.URL, path, 4<<20)
			}
			Expect(endless.count()).To(And(BeNumerically(">", 0), BeNumerically("<=", 4)))
		},
		Entry("of an idempotent request", "/look/"),
		Entry("of a stream", "/write/x"),
	)

	It("that is still arriving at the deadline counts as the upstream's failure", func(ctx SpecContext) {
		endless, sound := newFakeUpstream(slowBody), newFakeUpstream(succeed)
		p := newTestProxy(endless, sound)
		server := startCallerServer(func(w http.ResponseWriter, r *http.Request) {
			p.proxy.ServeRequest(w, r, counter.Call{ID: r.Header.Get(idHeader), Timeout: 200 * time.Millisecond})
		})
		defer server.Close()
		for range 20 {
			readAndLeave(ctx, server.URL, "/look/", 1<<20)
		}
		Expect(endless.count()).To(And(BeNumerically(">", 0), BeNumerically("<=", 4)))
	})
})
