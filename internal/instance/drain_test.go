package instance_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/registrar"
)

var _ = Describe("a planned stop", func() {
	const maxResponsePause = 500 * time.Millisecond
	var stopping *testInstance
	var cluster map[string]*testInstance

	BeforeEach(func(ctx SpecContext) {
		cluster = newCluster(ctx, maxResponsePause)
		stopping = cluster["b"]
	})

	// Two callers read streams from an instance while it drains, and the upstream
	// connection of one stream goes silent without closing. That caller must get an
	// error instead of a response that looks complete. The other caller must get its
	// complete response, and the drain must wait for the active stream only.
	It("cuts off the silent connection alone, and ends", SpecTimeout(specTimeout), func(ctx SpecContext) {
		finishActive, testDone := make(chan struct{}), make(chan struct{})
		defer close(testDone)
		var requests atomic.Int32
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			event := func(text string) {
				fmt.Fprint(w, "data: "+text+"\n\n")
				_ = http.NewResponseController(w).Flush()
			}
			// The number must be taken before the first event, because the test sends its
			// second request as soon as it has read that event.
			number := requests.Add(1)
			event("{}")
			if number == 1 {
				<-testDone
				return
			}
			tokens := time.NewTicker(maxResponsePause / 10)
			defer tokens.Stop()
			for {
				select {
				case <-finishActive:
					event("[DONE]")
					return
				case <-tokens.C:
					event("{}")
				}
			}
		}))
		DeferCleanup(upstream.Close)
		defer keepAnnounced(ctx, cluster["a"], upstream.Listener.Addr().String())()
		Eventually(ctx, func() int { return len(stopping.Upstreams(time.Now())) }).Should(Equal(1))
		openStream := func() *http.Response {
			stream, err := stopping.complete(ctx)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(stream.Body.Close)
			return stream
		}
		silent := openStream()
		first, err := bufio.NewReader(silent.Body).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(Equal("data: {}\n"))
		active := openStream()

		stopped := make(chan error, 1)
		go func() { stopped <- stopping.Drain(ctx) }()
		silentRead := make(chan error, 1)
		go func() {
			_, err := io.Copy(io.Discard, silent.Body)
			silentRead <- err
		}()
		Eventually(ctx, silentRead).WithTimeout(10 * time.Second).Should(Receive(HaveOccurred()))
		Expect(stopped).NotTo(Receive())
		close(finishActive)
		rest, err := io.ReadAll(active.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(HaveSuffix("data: [DONE]\n\n"))
		Eventually(ctx, stopped).Should(Receive(BeNil()))
		stopping.closed = true
	})

	// Its connection is set to be reset until its end.
	It("lets a stream of an HTTP/1.0 caller that reads late end whole", SpecTimeout(specTimeout), func(ctx SpecContext) {
		const events = 50_000
		began := make(chan struct{})
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			for range events {
				fmt.Fprint(w, "data: {}\n\n")
			}
			fmt.Fprint(w, "data: [DONE]\n\n")
			close(began)
		}))
		DeferCleanup(upstream.Close)
		defer keepAnnounced(ctx, cluster["a"], upstream.Listener.Addr().String())()
		Eventually(ctx, func() int { return len(stopping.Upstreams(time.Now())) }).Should(Equal(1))
		var dialer net.Dialer
		caller, err := dialer.DialContext(ctx, "tcp", stopping.settings.Advertise.Caller.String())
		Expect(err).NotTo(HaveOccurred())
		defer caller.Close()
		body := `{"model":"m","stream":true}`
		fmt.Fprintf(caller, "POST /v1/completions HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		Eventually(ctx, began).Should(BeClosed())
		stopped := make(chan error, 1)
		go func() { stopped <- stopping.Drain(ctx) }()
		// The caller reads on only once the instance has begun to stop.
		Consistently(ctx, stopped, 300*time.Millisecond).ShouldNot(Receive())
		answer, err := io.ReadAll(caller)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(answer), "data: {}\n\n")).To(Equal(events))
		Expect(string(answer)).To(HaveSuffix("data: [DONE]\n\n"))
		Eventually(ctx, stopped).Should(Receive(BeNil()))
		stopping.closed = true
	})

	// Its connection was closed without an answer.
	DescribeTable("answers a request that still runs at its end", func(ctx SpecContext, grace time.Duration) {
		arrived := make(chan struct{})
		upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			close(arrived)
			<-r.Context().Done()
		}))
		DeferCleanup(upstream.Close)
		defer keepAnnounced(ctx, cluster["a"], upstream.Listener.Addr().String())()
		Eventually(ctx, func() int { return len(stopping.Upstreams(time.Now())) }).Should(Equal(1))
		stopped := make(chan error, 1)
		go func() {
			<-arrived
			stopCtx, cancel := context.WithTimeout(ctx, grace)
			defer cancel()
			stopped <- stopping.Drain(stopCtx)
		}()
		response, err := stopping.complete(ctx)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(response.Header.Get(outcome.Header)).To(Equal("unknown"))
		Eventually(ctx, stopped).Should(Receive(BeNil()))
		stopping.closed = true
		Expect(stopping.log).To(gbytes.Say(`"requests":{"open":1,"taken":0,"whole":0,"unfinished":1,.*"cut-off":0,.*"message":"drained"`))
	},
		Entry("of some seconds", SpecTimeout(specTimeout), 2*time.Second),
		Entry("that comes at once", SpecTimeout(specTimeout), 300*time.Millisecond),
	)

	// Its connection was closed without an answer.
	It("answers an operator whose change waits for the other voters", SpecTimeout(specTimeout), func(ctx SpecContext) {
		for _, name := range []string{"a", "c"} {
			cluster[name].partitioned.Store(true)
		}
		statuses := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			url := "http://" + stopping.settings.Advertise.Operator.String() + "/operator/v1/changes"
			body := strings.NewReader(`{"change-id":"c1","expected-revision":0,"preset":"quiet"}`)
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
			Expect(err).NotTo(HaveOccurred())
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			statuses <- response.StatusCode
		}()
		Consistently(ctx, statuses, 100*time.Millisecond).ShouldNot(Receive())
		stopCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		Expect(stopping.Drain(stopCtx)).To(Succeed())
		stopping.closed = true
		Eventually(ctx, statuses).Should(Receive(BeElementOf(http.StatusServiceUnavailable, http.StatusGatewayTimeout)))
	})

	// The response to a drain request is lost, and two operators repeat the request
	// concurrently. Each request must succeed, and the drain must start only once.
	It("is asked for twice, and begins once", SpecTimeout(specTimeout), func(ctx SpecContext) {
		client, err := registrar.NewClient(registrar.ClientOptions{
			Addresses: []netip.AddrPort{stopping.settings.Advertise.Operator}, Timeout: 10 * time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		results := make(chan error, 3)
		requestDrain := func() {
			_, err := client.Drain(ctx)
			results <- err
		}
		requestDrain()
		go requestDrain()
		go requestDrain()
		for range 3 {
			Eventually(ctx, results).Should(Receive(BeNil()))
		}
		Expect(stopping.DrainRequested()).To(BeClosed())
		Expect(stopping.Drain(ctx)).To(Succeed())
		stopping.closed = true
	})
})
