package registrar_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/registrar"
)

var _ = Describe("a connection to an instance that goes silent", func() {
	// The first instance accepts the change but sends no response, and the
	// connection stays open. The client must wait no longer than its timeout and
	// then retry at the next instance, which returns the first result.
	It("costs the operator the timeout, and changes nothing twice", func() {
		f := newFixture()
		release := make(chan struct{})
		unresponsive := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.handler.ServeHTTP(httptest.NewRecorder(), r)
			<-release
		}))
		DeferCleanup(func() { close(release) })
		c, err := registrar.NewClient(registrar.ClientOptions{
			Addresses: []netip.AddrPort{unresponsive, serve(f.handler)}, Token: "token of kim", Timeout: 500 * time.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		results := make(chan registrar.ChangeResult, 1)
		go func() {
			defer GinkgoRecover()
			result, err := c.Change(ctx, change(0, "ordinary"))
			Expect(err).NotTo(HaveOccurred())
			results <- result
		}()
		Eventually(results).WithTimeout(20 * time.Second).Should(Receive(Equal(registrar.ChangeResult{Revision: 1})))
		Expect(f.activeConfig().Revision).To(Equal(uint64(1)))
	})
})
