package desk_test

import (
	"context"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/pause"
)

// respondUntilLeft sends pieces of a body, at most piecesPerSecond, until the other side closes the connection.
func respondUntilLeft(contentType string, piece []byte, piecesPerSecond int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", contentType)
		for r.Context().Err() == nil {
			if _, err := w.Write(piece); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			pause.For(r.Context(), time.Second/time.Duration(piecesPerSecond))
		}
	}
}

// readAndLeave sends an idempotent request to a service and leaves after limit bytes of the response.
func (s *testServer) readAndLeave(ctx context.Context, limit int64) {
	GinkgoHelper()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url+"/services/booking/seats", nil)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, limit))
}

var _ = Describe("an upstream whose callers leave before the end of a response", func() {
	var server *testServer
	var left *fakeUpstream
	var others []*fakeUpstream

	start := func(now func() time.Time) {
		server = newTestServerWithClock(newFakeVoters(), "a", now, func(limits *desk.Limits) { limits.MaxPrefetchBytes = 64 << 10 })
		left = newFakeUpstream(nil)
		others = []*fakeUpstream{newFakeUpstream(nil), newFakeUpstream(nil), newFakeUpstream(nil)}
		server.setUpstreams(left.address(), others[0].address(), others[1].address(), others[2].address())
	}

	// A caller that left was counted as a failure of its upstream, and upstreams that were well got no requests.
	It("is used as before", SpecTimeout(specTimeout), func(ctx SpecContext) {
		start(time.Now)
		left.handler = respondUntilLeft("text/event-stream", []byte("data: seat 7\n\n"), 200)
		for _, slow := range others {
			// The router prefers the upstream whose callers leave, unless it is ejected.
			slow.handler = func(_ http.ResponseWriter, r *http.Request) { pause.For(r.Context(), 300*time.Millisecond) }
		}
		for range 30 {
			server.readAndLeave(ctx, 20)
		}
		Expect(left.runCount()).To(BeNumerically(">", 15))
	})

	// Callers left after some megabytes, and the next ones got the same response.
	It("is avoided if the response has no end", SpecTimeout(specTimeout), func(ctx SpecContext) {
		// An ejection does not end.
		started := time.Now()
		start(func() time.Time { return started })
		left.handler = respondUntilLeft("application/octet-stream", make([]byte, 256<<10), 1000)
		for range 80 {
			server.readAndLeave(ctx, 2<<20)
		}
		Expect(left.runCount()).To(BeNumerically("<=", 8))
	})
})
