package instance_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/registrar"
)

var _ = Describe("a planned stop", func() {
	const answerPause = 500 * time.Millisecond
	var stopping *placed
	var trio map[string]*placed

	BeforeEach(func(ctx SpecContext) {
		trio = newTrio(ctx, answerPause)
		stopping = trio["b"]
	})

	// Two callers read streams from an instance that is stopped. The connection
	// behind one of them goes silent for good. Its caller sees a broken answer,
	// not one that looks whole; the other one is answered to the end; and the
	// stop waits for the living stream alone.
	It("cuts off the silent connection alone, and ends", SpecTimeout(specTimeout), func(ctx SpecContext) {
		release, gone := make(chan struct{}), make(chan struct{})
		defer close(gone)
		var asked atomic.Int32
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			event := func(text string) {
				fmt.Fprint(w, "data: "+text+"\n\n")
				_ = http.NewResponseController(w).Flush()
			}
			// The number is taken before the first event: the second request is sent once that
			// has come.
			number := asked.Add(1)
			event("{}")
			if number == 1 {
				<-gone
				return
			}
			tokens := time.NewTicker(answerPause / 10)
			defer tokens.Stop()
			for {
				select {
				case <-release:
					event("[DONE]")
					return
				case <-tokens.C:
					event("{}")
				}
			}
		}))
		DeferCleanup(upstream.Close)
		defer keepAnnounced(ctx, trio["a"], upstream.Listener.Addr().String())()
		Eventually(ctx, func() int { return len(stopping.Upstreams(time.Now())) }).Should(Equal(1))
		open := func() *http.Response {
			stream, err := stopping.ask(ctx)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(stream.Body.Close)
			return stream
		}
		silent := open()
		first, err := bufio.NewReader(silent.Body).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(Equal("data: {}\n"))
		living := open()

		stopped := make(chan error, 1)
		go func() { stopped <- stopping.Drain(ctx) }()
		broken := make(chan error, 1)
		go func() {
			_, err := io.Copy(io.Discard, silent.Body)
			broken <- err
		}()
		Eventually(ctx, broken).WithTimeout(10 * time.Second).Should(Receive(HaveOccurred()))
		Expect(stopped).NotTo(Receive())
		close(release)
		rest, err := io.ReadAll(living.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(HaveSuffix("data: [DONE]\n\n"))
		Eventually(ctx, stopped).Should(Receive(BeNil()))
		stopping.ended = true
	})

	// An operator's answer to a drain is lost, and the same is asked again, by two
	// operators at once. Each is told that it is under way, and it begins once.
	It("is asked for twice, and begins once", SpecTimeout(specTimeout), func(ctx SpecContext) {
		client, err := registrar.NewClient(registrar.ClientOptions{
			Addresses: []netip.AddrPort{stopping.set.Advertise.Operator}, Timeout: 10 * time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		answers := make(chan error, 3)
		ask := func() {
			_, err := client.Drain(ctx)
			answers <- err
		}
		ask()
		go ask()
		go ask()
		for range 3 {
			Eventually(ctx, answers).Should(Receive(BeNil()))
		}
		Expect(stopping.DrainAsked()).To(BeClosed())
		Expect(stopping.Drain(ctx)).To(Succeed())
		stopping.ended = true
	})
})
