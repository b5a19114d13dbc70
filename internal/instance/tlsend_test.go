package instance_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/instance"
	"github.com/lovagelift/lovagelift/internal/registrar"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// TLS announces the regular end of a connection when it is closed, which would be the end of a response
// without a length and chunks.
var _ = Describe("a response over TLS that ends with its connection", func() {
	It("breaks off if the grace of a stop ends before it", SpecTimeout(specTimeout), func(ctx SpecContext) {
		testDone := make(chan struct{})
		defer close(testDone)
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: seat 7\n\n")
			<-testDone
		}))
		certified := httptest.NewTLSServer(nil)
		DeferCleanup(certified.Close)

		listeners := instance.Listeners{Upstream: listen(), Operator: listen(), Inner: listen()}
		listeners.Caller = tls.NewListener(listen(), &tls.Config{Certificates: certified.TLS.Certificates, MinVersion: tls.VersionTLS12})
		stopping := newVoter("a", listeners)
		stopping.start(listeners, 0)
		Expect(stopping.Bootstrap(ctx, registrar.Origin{})).To(Succeed())
		_, err := stopping.Announce(time.Now(), upstreamapi.Announcement{
			Name: "service-1", Incarnation: 1, Sequence: 1, Address: upstream.Listener.Addr().String(),
			Kind: upstreamapi.KindService, FailureDomain: "domain-a", Services: []string{"booking"},
		})
		Expect(err).NotTo(HaveOccurred())
		Eventually(ctx, func() error {
			if refusal := stopping.CheckAdmission(time.Now()); refusal != nil {
				return refusal
			}
			return nil
		}).WithTimeout(20 * time.Second).Should(Succeed())

		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+stopping.settings.Advertise.Caller.String()+"/services/booking/events", nil)
		Expect(err).NotTo(HaveOccurred())
		response, err := certified.Client().Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		events := bufio.NewReader(response.Body)
		Expect(events.ReadString('\n')).To(Equal("data: seat 7\n"))

		graceEnded, end := context.WithCancel(ctx)
		end()
		Expect(stopping.Drain(graceEnded)).NotTo(Succeed())
		stopping.closed = true
		_, err = io.Copy(io.Discard, events)
		Expect(err).To(HaveOccurred())
	})
})
