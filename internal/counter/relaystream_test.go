package counter_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/outcome"
)

const (
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
)

// pausedStream is a stream through a peer. The caller has received its first event, and the upstream sends
// the second one when proceed is closed.
type pausedStream struct {
	*relayGroup
	body    io.ReadCloser
	proceed chan struct{}
}

// newPausedStream begins a stream in the framing that a header field states.
func newPausedStream(ctx context.Context, name, value string) *pausedStream {
	GinkgoHelper()
	s := &pausedStream{proceed: make(chan struct{})}
	s.relayGroup = newRelayGroup(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		w.Header().Set(idHeader, r.Header.Get(idHeader))
		w.Header().Set("Content-Type", eventStream)
		w.Header().Set(name, value)
		_, _ = io.WriteString(w, firstEvent)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-s.proceed:
			_, _ = io.WriteString(w, secondEvent)
		case <-r.Context().Done():
		}
	})
	response, err := post(ctx, s.server.URL, "/write/")
	Expect(err).NotTo(HaveOccurred())
	s.body = response.Body
	DeferCleanup(s.body.Close)
	_, err = io.ReadFull(s.body, make([]byte, len(firstEvent)))
	Expect(err).NotTo(HaveOccurred())
	return s
}

var _ = Describe("A stream through a peer", func() {
	for _, framing := range []struct{ name, header, value string }{
		{"with a length", "Content-Length", fmt.Sprint(len(firstEvent + secondEvent))},
		{"in chunks", "Transfer-Encoding", "chunked"},
		{"until close", "Transfer-Encoding", "identity"},
	} {
		// A planned stop must not cut what can still end.
		It(framing.name+" goes on while the peer drains", func(ctx SpecContext) {
			stream := newPausedStream(ctx, framing.header, framing.value)
			stream.peers[1].proxy.Drain(time.Now(), counter.Grace{})
			close(stream.proceed)
			rest, err := io.ReadAll(stream.body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(rest)).To(Equal(secondEvent))
		}, SpecTimeout(specTimeout))

		// A killed process closes its connections as this server does.
		It(framing.name+" is visibly incomplete if the peer ends", func(ctx SpecContext) {
			stream := newPausedStream(ctx, framing.header, framing.value)
			stream.peers[1].relay.CloseClientConnections()
			_, err := io.ReadAll(stream.body)
			Expect(err).To(HaveOccurred())
		}, SpecTimeout(specTimeout))
	}
})

// The last line of the stop counted it as open, and not what became of it.
var _ = Describe("A stream through a peer that stops", func() {
	It("is counted as whole", func(ctx SpecContext) {
		stream := newPausedStream(ctx, "Transfer-Encoding", "chunked")
		relaying := stream.peers[1].proxy
		relaying.Drain(time.Now(), counter.Grace{})
		close(stream.proceed)
		_, err := io.ReadAll(stream.body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(ctx, relaying.DrainSummary).Should(And(HaveField("Open", 1), HaveField("Whole", 1)))
	}, SpecTimeout(specTimeout))

	It("is counted as ended early at its end", func(ctx SpecContext) {
		stream := newPausedStream(ctx, "Transfer-Encoding", "chunked")
		relaying := stream.peers[1].proxy
		statuses := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			statuses <- stream.sendTo(1, "/book/", "")
		}()
		Eventually(ctx, relaying.ActiveRequests).Should(Equal(2))
		relaying.Drain(time.Now(), graceOf(0, time.Millisecond))
		Eventually(ctx, statuses).Should(Receive(Equal(http.StatusBadGateway)), "the stop has ended")
		stream.peers[1].relay.CloseClientConnections()
		Eventually(ctx, relaying.DrainSummary).Should(HaveField("EndedEarly", map[outcome.EarlyEnd]int{outcome.InstanceStopped: 1}))
	}, SpecTimeout(specTimeout))
})

// An event may begin and end at any byte of a buffer.
var _ = DescribeTable("Events of any size are passed on unchanged",
	func(ctx SpecContext, way way, size int) {
		const count, pieceBytes = 5, 1009
		var stream strings.Builder
		for i := range count {
			stream.WriteString("data: " + strings.Repeat(string(rune('a'+i)), size) + "\r\n\r\n")
		}
		url := way.start(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			w.Header().Set(idHeader, r.Header.Get(idHeader))
			w.Header().Set("Content-Type", eventStream)
			for rest := stream.String(); rest != ""; rest = rest[min(pieceBytes, len(rest)):] {
				_, _ = io.WriteString(w, rest[:min(pieceBytes, len(rest))])
				_ = http.NewResponseController(w).Flush()
			}
		})
		view := fetch(ctx, url, "/write/")
		Expect(view.err).NotTo(HaveOccurred())
		Expect(view.body == stream.String()).To(BeTrue())
	},
	Entry("1 byte, directly", SpecTimeout(specTimeout), direct, 1),
	Entry("about a buffer, directly", SpecTimeout(specTimeout), direct, 4096-len("data: \r\n\r\n")),
	Entry("1 MiB, directly", SpecTimeout(specTimeout), direct, 1<<20),
	Entry("1 byte, through a peer", SpecTimeout(specTimeout), throughPeer, 1),
	Entry("about a buffer, through a peer", SpecTimeout(specTimeout), throughPeer, 4096-len("data: \r\n\r\n")),
	Entry("1 MiB, through a peer", SpecTimeout(specTimeout), throughPeer, 1<<20),
)

// Its path works again when no peer can relay, before a probe finds that out.
var _ = It("A stream until close that is sent directly after its relay was rejected is visibly incomplete if its upstream ends",
	func(ctx SpecContext) {
		var ending atomic.Bool
		g := newRelayGroup(func(w http.ResponseWriter, r *http.Request) {
			if ending.Load() {
				respondAndEnd(eventStream, firstEvent)(w, r)
				return
			}
			succeed(w, r)
		})
		status, _, err := g.post(ctx, "/look/", "the path is lost")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		ending.Store(true)
		g.peers[1].proxy.Drain(time.Now(), counter.Grace{})
		g.peers[0].path.fail(nil)
		view := fetch(ctx, g.server.URL, "/write/")
		Expect(view.isVisiblyIncomplete()).To(BeTrue(), "got %+v", view)
	}, SpecTimeout(specTimeout))
