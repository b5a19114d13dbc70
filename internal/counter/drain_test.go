package counter_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
)

// A request that may wait for longer than the rest of the grace period would lose its connection
// without a response when the instance stops.
var _ = It("refuses requests that still wait when the instance stops", func(ctx SpecContext) {
	p := newTestProxy()
	arrived := make(chan struct{})
	server := startCallerServer(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		p.proxy.ServeRequest(w, r, counter.Call{ID: "r1", Timeout: time.Minute})
	})
	DeferCleanup(server.Close)
	go func() {
		defer GinkgoRecover()
		Eventually(arrived, specTimeout).Should(BeClosed())
		p.proxy.Drain(50 * time.Millisecond)
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/patient/", http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	request.Host = "spec.test"
	response, err := http.DefaultTransport.RoundTrip(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
}, SpecTimeout(specTimeout))
