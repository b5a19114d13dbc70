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
	// The first instance takes the connection and never answers. The caller
	// waits for the bound of a look-up and asks the next one it knows.
	It("costs the caller the bound of a look-up", SpecTimeout(20*time.Second), func(ctx SpecContext) {
		gone := make(chan struct{})
		silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-gone }))
		DeferCleanup(func() {
			close(gone)
			silent.Close()
		})
		serving := newEntry(answer)
		asking := caller.New(caller.Options{Known: []string{silent.Listener.Addr().String(), serving.address()}})
		got, err := asking.Ask(ctx, question, ignore)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Text).To(Equal("in ten minutes"))
		Expect(got.Entry.Address).To(Equal(serving.address()))
	})
})
