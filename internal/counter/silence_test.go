package counter_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/lovagelift/lovagelift/internal/counter"
)

var _ = Describe("A sound upstream that falls silent", func() {
	// An engine that stalled for a second in the middle of a stream went on afterwards. Its callers
	// must get the whole stream, and no other engine the same request.
	It("keeps its requests", func(ctx SpecContext) {
		group := newPeerGroup(2)
		silent, resumed := make(chan struct{}), make(chan struct{})
		u := newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(idHeader, r.Header.Get(idHeader))
			_, _ = io.WriteString(w, "data: a\n\n")
			_ = http.NewResponseController(w).Flush()
			close(silent)
			<-resumed
			_, _ = io.WriteString(w, "data: b\n\n")
		})
		other := newFakeUpstream(succeed)
		group.control.announce("a", u.address())
		group.waitUntilKnown(1)
		body := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			recorder := httptest.NewRecorder()
			request := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://spec.test/write/", strings.NewReader("a reply"))
			request.Header.Set(idHeader, "r1")
			group.peers[0].proxy.ServeRequest(recorder, request, counter.Call{ID: "r1", Timeout: 10 * time.Second})
			body <- recorder.Body.String()
		}()
		Eventually(ctx, silent).Should(BeClosed())
		group.control.announce("b", other.address())
		group.waitUntilKnown(2)
		// A user timeout also ends connections whose keep-alive probes go unanswered.
		Expect(group.peers[0].path.userTimeouts()).To(Equal([]time.Duration{0}), "that of the stream")
		for range 15 {
			group.clock.advance(100 * time.Millisecond)
			Expect(group.sendTo(0, "/look/", "")).To(Equal(http.StatusOK))
		}
		Expect(group.peers[0].path.userTimeouts()).To(Equal([]time.Duration{0, 500 * time.Millisecond}))
		close(resumed)
		Eventually(ctx, body).Should(Receive(Equal("data: a\n\ndata: b\n\n")))
		Expect(u.count()).To(Equal(1))
		Expect(group.peers[0].proxy.LostPaths()).To(BeZero())
		Expect(group.control.crashReports()).To(BeEmpty())
	}, SpecTimeout(specTimeout))
})

// userTimeouts returns the user timeouts of the open connections.
func (p *upstreamPath) userTimeouts() []time.Duration {
	GinkgoHelper()
	p.mu.Lock()
	defer p.mu.Unlock()
	var timeouts []time.Duration
	for _, conn := range p.open {
		raw, err := conn.(*net.TCPConn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		// A closed connection has none.
		_ = raw.Control(func(fd uintptr) {
			milliseconds, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			Expect(err).NotTo(HaveOccurred())
			timeouts = append(timeouts, time.Duration(milliseconds)*time.Millisecond)
		})
	}
	return timeouts
}
