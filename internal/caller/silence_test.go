package caller_test

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/caller"
)

var _ = Describe("a look-up whose connection goes silent", func() {
	// The first instance accepts the connection and never responds. The caller must
	// try the next known address after the lookup timeout.
	It("costs the caller the bound of a look-up", SpecTimeout(20*time.Second), func(ctx SpecContext) {
		testDone := make(chan struct{})
		unresponsive := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-testDone }))
		DeferCleanup(func() {
			close(testDone)
			unresponsive.Close()
		})
		serving := newFakeInstance(respondComplete)
		client := caller.New(caller.Options{Seeds: []string{unresponsive.Listener.Addr().String(), serving.address()}})
		response, err := client.Complete(ctx, request, discardText)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Text).To(Equal("in ten minutes"))
		Expect(response.Entry.Address).To(Equal(serving.address()))
	})
})
