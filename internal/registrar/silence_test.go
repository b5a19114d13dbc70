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
	// The first instance accepts the change, and its connection goes silent
	// before the answer: nothing breaks, and nothing comes. The client waits for
	// its timeout, no longer, and asks the next one, which gives the first answer
	// again. Nothing is changed twice.
	It("costs the operator the timeout, and changes nothing twice", func() {
		f := newFixture()
		gone := make(chan struct{})
		silent := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.handler.ServeHTTP(httptest.NewRecorder(), r)
			<-gone
		}))
		DeferCleanup(func() { close(gone) })
		c, err := registrar.NewClient(registrar.ClientOptions{
			Addresses: []netip.AddrPort{silent, serve(f.handler)}, Token: "token of kim", Timeout: 500 * time.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		answers := make(chan registrar.Answer, 1)
		go func() {
			defer GinkgoRecover()
			answer, err := c.Change(ctx, change(0, "ordinary"))
			Expect(err).NotTo(HaveOccurred())
			answers <- answer
		}()
		Eventually(answers).WithTimeout(20 * time.Second).Should(Receive(Equal(registrar.Answer{Revision: 1})))
		Expect(f.inForce().Revision).To(Equal(uint64(1)))
	})
})
