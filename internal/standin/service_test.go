package standin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

var _ = Describe("Service", func() {
	It("answers any method with the body and counts runs by idempotency key or request id", func() {
		service := standin.NewService(standin.ServiceOptions{Name: "bookings-1"})
		r := httptest.NewRequest(http.MethodPut, "/bookings/7", strings.NewReader("seat 4"))
		r.Header.Set("Content-Type", "text/plain")
		r.Header.Set("Idempotency-Key", "k1")
		w := httptest.NewRecorder()
		service.ServeHTTP(w, r)
		Expect(w.Code).To(Equal(http.StatusOK))
		Expect(w.Body.String()).To(Equal("seat 4"))
		Expect(w.Header().Get("Content-Type")).To(Equal("text/plain"))
		post(service, "/bookings", "r2", "a")
		post(service, "/bookings", "r2", "a")
		Expect(service.Runs("k1")).To(Equal(1))
		Expect(service.Runs("r2")).To(Equal(2))
		Expect(service.TotalRuns()).To(Equal(3))
	})

	It("answers a request without a body with its method and path", func() {
		service := standin.NewService(standin.ServiceOptions{Name: "seats-1"})
		w := httptest.NewRecorder()
		service.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/seats/bus-3", nil))
		Expect(w.Body.String()).To(MatchJSON(`{"upstream":"seats-1","method":"GET","path":"/seats/bus-3"}`))
	})

	It("waits for the configured delay", func() {
		clock := standin.NewManualClock(start)
		service := standin.NewService(standin.ServiceOptions{Delay: time.Second, Clock: clock})
		responses := make(chan *httptest.ResponseRecorder)
		go func() {
			defer GinkgoRecover()
			responses <- post(service, "/pings", "r1", "ping")
		}()
		clock.AwaitTimers(1)
		Expect(responses).NotTo(Receive())
		clock.Advance(time.Second)
		Expect((<-responses).Body.String()).To(Equal("ping"))
	})

	It("does not run a request with an incomplete body", func() {
		service := standin.NewService(standin.ServiceOptions{})
		r := httptest.NewRequest(http.MethodPost, "/bookings", brokenBody{})
		w := httptest.NewRecorder()
		service.ServeHTTP(w, r)
		Expect(w.Header().Get(upstreamapi.RefusedHeader)).To(Equal(upstreamapi.RefusedNotRun))
		Expect(service.TotalRuns()).To(BeZero())
	})
})

type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) {
	return 0, http.ErrBodyReadAfterClose
}
