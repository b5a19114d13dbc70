package counter_test

import (
	"context"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Control instances that start after an outage would be kept busy by callers that resume their streams.
var _ = It("Streams that wait for the recorded versions do not make an instance sync in a loop while no control instance answers", func(ctx SpecContext) {
	p := newTestProxy(newFakeUpstream(succeed))
	p.control.setHasLeader(false)
	before, began := p.control.syncCount(), time.Now()
	const streams, interval = 8, 250 * time.Millisecond
	resumeAtOnce(ctx, p, streams)
	// Each stream triggers one sync when it begins to wait.
	Expect(p.control.syncCount() - before).To(BeNumerically("<=", streams+2+int(time.Since(began)/interval)))
}, SpecTimeout(specTimeout))

// resumeAtOnce resumes streams of which nobody knows, and waits until all are refused.
func resumeAtOnce(ctx context.Context, p *testProxy, streams int) {
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			defer GinkgoRecover()
			header := http.Header{resumesHeader: {"s1"}, http.CanonicalHeaderKey(lastEventIDHeader): {"1"}}
			response, _, err := p.sendWithHeader(ctx, header, http.MethodPost, "/draft/x", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		})
	}
	group.Wait()
}
