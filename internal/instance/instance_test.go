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
	var cluster map[string]*testInstance

	BeforeEach(func(ctx SpecContext) { cluster = newCluster(ctx, 0) })

	others := func(member *testInstance) []*testInstance {
		var rest []*testInstance
		for _, other := range cluster {
			if other != member {
				rest = append(rest, other)
			}
		}
		return rest
	}

	// A caller reads a stream from an instance while it drains. Other instances must
	// stop listing it to callers. The stream must complete, and the drain must wait
	// for it.
	It("cut off no request when one is stopped as planned", SpecTimeout(specTimeout), func(ctx SpecContext) {
		finishStream := make(chan struct{})
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "data: {\"n\":1}\n\n")
			_ = http.NewResponseController(w).Flush()
			<-finishStream
			fmt.Fprint(w, "data: [DONE]\n\n")
		}))
		defer upstream.Close()
		stopping := cluster["b"]
		defer keepAnnounced(ctx, cluster["a"], upstream.Listener.Addr().String())()
		Eventually(ctx, func() int { return len(stopping.Upstreams(time.Now())) }).Should(Equal(1))
		stream, err := stopping.complete(ctx)
		Expect(err).NotTo(HaveOccurred())
		defer stream.Body.Close()

		stopped := make(chan error, 1)
		go func() { stopped <- stopping.Drain(ctx) }()
		for _, other := range others(stopping) {
			Eventually(ctx, other.entries).Should(HaveLen(2))
		}
		Eventually(ctx, func() bool {
			conn, err := net.Dial("tcp", stopping.settings.Advertise.Caller.String())
			if err == nil {
				conn.Close()
			}
			return err != nil
		}).Should(BeTrue(), "it must eventually refuse new connections")
		Expect(stopped).NotTo(Receive())
		close(finishStream)
		rest, err := io.ReadAll(stream.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(HaveSuffix("data: [DONE]\n\n"))
		Eventually(ctx, stopped).Should(Receive(BeNil()))
		stopping.closed = true
	})

	// An upstream reports to one instance that it is leaving. All instances must stop
	// sending requests to it before its lease expires.
	It("give an upstream that leaves no new work, everywhere", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "{}")
		}))
		defer upstream.Close()
		stop := keepAnnounced(ctx, cluster["a"], upstream.Listener.Addr().String())
		for _, member := range cluster {
			Eventually(ctx, func() int { status, _ := member.completionStatus(ctx); return status }).Should(Equal(http.StatusOK), member.name)
		}
		stop()
		leftAt := time.Now()
		cluster["a"].Leave(leftAt, upstreamapi.Leave{Name: "engine-1", Incarnation: 1})
		for _, member := range cluster {
			Eventually(ctx, func() int { status, _ := member.completionStatus(ctx); return status }).WithTimeout(10*time.Second).Should(Equal(http.StatusServiceUnavailable), member.name)
			Expect(member.lastBody).To(And(ContainSubstring(`"code":"no-upstream"`), ContainSubstring(`"outcome":"not-run"`)))
		}
		Expect(time.Since(leftAt)).To(BeNumerically("<", cluster["a"].settings.Timing.UpstreamLease))
	})

	// One instance is partitioned from the others and cannot confirm its
	// configuration. It must refuse new requests as not-run, and the others must stop
	// listing it to callers. After the partition it must be listed again.
	It("send no caller to one that can't confirm its configuration", SpecTimeout(specTimeout), func(ctx SpecContext) {
		isolated := cluster["c"]
		isolated.partitioned.Store(true)
		Eventually(ctx, func() string { _, requestOutcome := isolated.completionStatus(ctx); return requestOutcome }).WithTimeout(20 * time.Second).Should(Equal("not-run"))
		Eventually(ctx, func() int { status, _ := isolated.completionStatus(ctx); return status }).
			WithTimeout(20 * time.Second).Should(Equal(http.StatusServiceUnavailable))
		refused, err := isolated.complete(ctx)
		Expect(err).NotTo(HaveOccurred())
		defer refused.Body.Close()
		Expect(refused.Header.Get("Retry-After")).NotTo(BeEmpty())
		for _, other := range others(isolated) {
			Eventually(ctx, other.entries).WithTimeout(20 * time.Second).Should(HaveLen(2))
		}
		isolated.partitioned.Store(false)
		Eventually(ctx, isolated.entries).WithTimeout(20 * time.Second).Should(HaveLen(3))
	})

	// Two upstreams announce themselves under the same name to different instances.
	// All instances must converge on the one with the higher incarnation, and the
	// other one's next announcement must be rejected.
	It("agree on one of two upstreams with one name", SpecTimeout(specTimeout), func(ctx SpecContext) {
		_, err := cluster["a"].Announce(time.Now(), engineAnnouncement("127.0.0.1:1001", 1))
		Expect(err).NotTo(HaveOccurred())
		newer := engineAnnouncement("127.0.0.1:1002", 1)
		newer.Incarnation = 2
		_, err = cluster["b"].Announce(time.Now(), newer)
		Expect(err).NotTo(HaveOccurred())
		for _, member := range cluster {
			Eventually(ctx, func() string {
				known := member.Upstreams(time.Now())
				if len(known) != 1 {
					return ""
				}
				return known[0].Announcement.Address
			}).Should(Equal("127.0.0.1:1002"), member.name)
		}
		_, err = cluster["a"].Announce(time.Now(), engineAnnouncement("127.0.0.1:1001", 2))
		Expect(err).To(HaveOccurred())
	})

	// A client sends half a request header and nothing more. The server must close
	// the connection after the header timeout.
	It("cut off a client whose header does not come", SpecTimeout(specTimeout), func(ctx SpecContext) {
		conn, err := net.Dial("tcp", cluster["a"].settings.Advertise.Caller.String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /v1/entries HTTP/1.1\r\nHost: x\r\n")
		Expect(err).NotTo(HaveOccurred())
		closedByServer := make(chan struct{})
		go func() {
			defer close(closedByServer)
			_, _ = io.Copy(io.Discard, conn)
		}()
		Eventually(ctx, closedByServer).WithTimeout(2 * cluster["a"].settings.Limits.HeaderTime).Should(BeClosed())
	})
})
