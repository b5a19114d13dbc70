package desk_test

import (
	"net/http"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// newLimitedUpstream returns an upstream that states a limit in its responses, or none if limit
// is empty.
func newLimitedUpstream(limit string) *fakeUpstream {
	return newFakeUpstream(func(w http.ResponseWriter, _ *http.Request) {
		if limit != "" {
			w.Header().Set(upstreamapi.LimitHeader, limit)
		}
		_, _ = w.Write([]byte("{}"))
	})
}

var _ = Describe("an upstream that names a limit", func() {
	const callers = 40
	var server *testServer

	BeforeEach(func() { server = newTestServer(newFakeVoters(), "a") })

	complete := func(ctx SpecContext) callerReply {
		return server.call(ctx, http.MethodPost, "/v1/chat/completions", "", `{"model":"m"}`)
	}

	It("gets no more than it takes, and callers are told when to come back", SpecTimeout(specTimeout), func(ctx SpecContext) {
		limited := newLimitedUpstream("0.3")
		server.setUpstreams(limited.address())
		Expect(complete(ctx).status).To(Equal(http.StatusOK))
		refused := 0
		for range callers {
			reply := complete(ctx)
			if reply.status == http.StatusOK {
				continue
			}
			refused++
			Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
			Expect(reply.outcome).To(Equal("not-run"))
			Expect(reply.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(float64(limited.runCount())).To(BeNumerically("<=", ratelimit.MaxRequests(0.3)))
		Expect(refused).To(BeNumerically(">=", callers-int(ratelimit.MaxRequests(0.3))))
	})

	It("leaves the remaining requests to an upstream without a limit", SpecTimeout(specTimeout), func(ctx SpecContext) {
		limited, unlimited := newLimitedUpstream("0.3"), newLimitedUpstream("")
		server.setUpstreams(limited.address(), unlimited.address())
		for range callers {
			Expect(complete(ctx).status).To(Equal(http.StatusOK))
		}
		Expect(float64(limited.runCount())).To(BeNumerically("<=", ratelimit.MaxRequests(0.3)))
	})

	It("receives all requests if its limit is invalid", SpecTimeout(specTimeout), func(ctx SpecContext) {
		limited := newLimitedUpstream("few")
		server.setUpstreams(limited.address())
		for range callers {
			Expect(complete(ctx).status).To(Equal(http.StatusOK))
		}
	})
})

var _ = Describe("an upstream that pushes back", func() {
	const callers = 40

	newReluctantUpstream := func() *fakeUpstream {
		return newFakeUpstream(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(upstreamapi.RefusedHeader, upstreamapi.RefusedNotRun)
			w.Header().Set("Retry-After", "59.5")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	complete := func(ctx SpecContext, server *testServer) callerReply {
		return server.call(ctx, http.MethodPost, "/v1/chat/completions", "", `{"model":"m"}`)
	}

	// Guards against requests that are sent although the upstream has just asked for a time without
	// any.
	It("gets nothing until the time is over, and callers are told when to come back", SpecTimeout(specTimeout), func(ctx SpecContext) {
		server, reluctant := newTestServer(newFakeVoters(), "a"), newReluctantUpstream()
		server.setUpstreams(reluctant.address())
		for range callers {
			reply := complete(ctx, server)
			Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
			Expect(reply.outcome).To(Equal("not-run"))
			Expect(strconv.Atoi(reply.header.Get("Retry-After"))).To(BeNumerically(">", 30))
		}
		Expect(reluctant.runCount()).To(Equal(1))
	})

	It("leaves the requests to an upstream that does not", SpecTimeout(specTimeout), func(ctx SpecContext) {
		server, reluctant := newTestServer(newFakeVoters(), "a"), newReluctantUpstream()
		server.setUpstreams(reluctant.address(), newLimitedUpstream("").address())
		// The retry budget may not allow a retry of the first refused request.
		complete(ctx, server)
		complete(ctx, server)
		for range callers {
			Expect(complete(ctx, server).status).To(Equal(http.StatusOK))
		}
		Expect(reluctant.runCount()).To(BeNumerically("<=", 1))
	})
})
