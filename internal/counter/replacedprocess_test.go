package counter_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A process that has restarted at the address of the one before it answers under the same name.
var _ = DescribeTable("A response until close does not end regularly if another process has taken over its upstream's name since",
	func(ctx SpecContext, path string) {
		var p *testProxy
		var u *upstream
		respond := respondUntilClose(eventStream, wholeEvents)
		u = newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
			p.control.announceRestart("u0", u.address())
			Eventually(ctx, p.proxy.IncarnationOf("u0")).Should(BeEquivalentTo(2))
			respond(w, r)
		})
		p = newTestProxy(u)
		Expect(fetch(ctx, p.server.URL, path).isVisiblyIncomplete()).To(BeTrue())
	},
	Entry("a stream", SpecTimeout(specTimeout), "/write/"),
	Entry("a request that must not run twice", SpecTimeout(specTimeout), "/book/"),
)
