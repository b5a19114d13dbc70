package counter_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/pause"
)

// The connection of an idempotent request was closed after half a second in which its upstream read nothing.
var _ = DescribeTable("An upstream that reads a long body late keeps the request",
	func(ctx SpecContext, path string) {
		late := newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
			pause.For(r.Context(), 1200*time.Millisecond)
			succeed(w, r)
		})
		p := newTestProxy(late)
		response, _, err := p.send(ctx, http.MethodPost, path, strings.Repeat("seat 7 ", 100<<10))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(p.arrivals()).To(Equal(1))
	},
	Entry("an idempotent one", SpecTimeout(specTimeout), "/look/"),
	Entry("one that must not run twice", SpecTimeout(specTimeout), "/book/"),
)
