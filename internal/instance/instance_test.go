package instance_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

var _ = Describe("three instances", func() {
	var trio map[string]*placed

	BeforeEach(func(ctx SpecContext) { trio = newTrio(ctx, 0) })

	others := func(p *placed) []*placed {
		var rest []*placed
		for _, other := range trio {
			if other != p {
				rest = append(rest, other)
			}
		}
		return rest
	}

	// A caller reads a stream from an instance that an operator stops. Callers
	// elsewhere are no longer sent there; those that kept its address are served
	// on. The stream ends whole, and the stop waits for it.
	It("cut off no request when one is stopped as planned", SpecTimeout(specTimeout), func(ctx SpecContext) {
		release := make(chan struct{})
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "data: {\"n\":1}\n\n")
			_ = http.NewResponseController(w).Flush()
			<-release
			fmt.Fprint(w, "data: [DONE]\n\n")
		}))
		defer upstream.Close()
		stopping := trio["b"]
		defer keepAnnounced(ctx, trio["a"], upstream.Listener.Addr().String())()
		Eventually(ctx, func() int { return len(stopping.Upstreams(time.Now())) }).Should(Equal(1))
		stream, err := stopping.ask(ctx)
		Expect(err).NotTo(HaveOccurred())
		defer stream.Body.Close()

		stopped := make(chan error, 1)
		go func() { stopped <- stopping.Drain(ctx) }()
		for _, other := range others(stopping) {
			Eventually(ctx, other.entries).Should(HaveLen(2))
		}
		Eventually(ctx, func() bool {
			conn, err := net.Dial("tcp", stopping.set.Advertise.Caller.String())
			if err == nil {
				conn.Close()
			}
			return err != nil
		}).Should(BeTrue(), "it takes no new connection in the end")
		Expect(stopped).NotTo(Receive())
		close(release)
		rest, err := io.ReadAll(stream.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(HaveSuffix("data: [DONE]\n\n"))
		Eventually(ctx, stopped).Should(Receive(BeNil()))
		stopping.ended = true
	})

	// An upstream says to one instance that it goes. A moment later no instance
	// sends it anything, though its lease has not passed.
	It("give an upstream that leaves no new work, everywhere", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "{}")
		}))
		defer upstream.Close()
		stop := keepAnnounced(ctx, trio["a"], upstream.Listener.Addr().String())
		for _, p := range trio {
			Eventually(ctx, func() int { status, _ := p.status(ctx); return status }).Should(Equal(http.StatusOK), p.name)
		}
		stop()
		left := time.Now()
		trio["a"].Leave(left, upstreamapi.Leave{Name: "engine-1", Incarnation: 1})
		for _, p := range trio {
			Eventually(ctx, func() int { status, _ := p.status(ctx); return status }).WithTimeout(10*time.Second).Should(Equal(http.StatusServiceUnavailable), p.name)
			Expect(p.said).To(And(ContainSubstring(`"code":"no-upstream"`), ContainSubstring(`"outcome":"not-run"`)))
		}
		Expect(time.Since(left)).To(BeNumerically("<", trio["a"].set.Timing.UpstreamLease))
	})

	// One instance is cut off from the voters. It can't confirm its configuration
	// and refuses new work at once, truthfully and naming the others; these no
	// longer send callers there. Once it is back, it serves again.
	It("send no caller to one that can't confirm its configuration", SpecTimeout(specTimeout), func(ctx SpecContext) {
		cut := trio["c"]
		cut.cut.Store(true)
		Eventually(ctx, func() string { _, told := cut.status(ctx); return told }).WithTimeout(20 * time.Second).Should(Equal("not-run"))
		Eventually(ctx, func() int { status, _ := cut.status(ctx); return status }).
			WithTimeout(20 * time.Second).Should(Equal(http.StatusServiceUnavailable))
		refused, err := cut.ask(ctx)
		Expect(err).NotTo(HaveOccurred())
		defer refused.Body.Close()
		Expect(refused.Header.Get("Retry-After")).NotTo(BeEmpty())
		for _, other := range others(cut) {
			Eventually(ctx, other.entries).WithTimeout(20 * time.Second).Should(HaveLen(2))
		}
		cut.cut.Store(false)
		Eventually(ctx, cut.entries).WithTimeout(20 * time.Second).Should(HaveLen(3))
	})

	// Two upstreams announce themselves under one name to two instances. One of
	// them, the later started, is known everywhere in the end, and the other is
	// told that its name is taken.
	It("agree on one of two upstreams with one name", SpecTimeout(specTimeout), func(ctx SpecContext) {
		_, err := trio["a"].Announce(time.Now(), engine("127.0.0.1:1001", 1))
		Expect(err).NotTo(HaveOccurred())
		later := engine("127.0.0.1:1002", 1)
		later.Incarnation = 2
		_, err = trio["b"].Announce(time.Now(), later)
		Expect(err).NotTo(HaveOccurred())
		for _, p := range trio {
			Eventually(ctx, func() string {
				known := p.Upstreams(time.Now())
				if len(known) != 1 {
					return ""
				}
				return known[0].Announcement.Address
			}).Should(Equal("127.0.0.1:1002"), p.name)
		}
		_, err = trio["a"].Announce(time.Now(), engine("127.0.0.1:1001", 2))
		Expect(err).To(HaveOccurred())
	})

	// A client opens a connection and sends half a header, and no more. It is cut
	// off after the header's time and holds nothing up.
	It("cut off a client whose header does not come", SpecTimeout(specTimeout), func(ctx SpecContext) {
		conn, err := net.Dial("tcp", trio["a"].set.Advertise.Caller.String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /v1/entries HTTP/1.1\r\nHost: x\r\n")
		Expect(err).NotTo(HaveOccurred())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, conn)
		}()
		Eventually(ctx, ended).WithTimeout(2 * trio["a"].set.Limits.HeaderTime).Should(BeClosed())
	})
})
