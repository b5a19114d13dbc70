package desk_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// newNaming returns an upstream that names a limit in its answers, none if it is empty.
func newNaming(limit string) *bookings {
	return newBookings(func(w http.ResponseWriter, _ *http.Request) {
		if limit != "" {
			w.Header().Set(upstreamapi.LimitHeader, limit)
		}
		_, _ = w.Write([]byte("{}"))
	})
}

var _ = Describe("an upstream that names a limit", func() {
	const callers = 40
	var at *entrance

	BeforeEach(func() { at = newEntrance(newVoters(), "a") })

	ask := func(ctx SpecContext) told {
		return at.call(ctx, http.MethodPost, "/v1/chat/completions", "", `{"model":"m"}`)
	}

	It("gets no more than it takes, and callers are told when to come back", SpecTimeout(specTimeout), func(ctx SpecContext) {
		engine := newNaming("0.3")
		at.serveAt(engine.address())
		Expect(ask(ctx).status).To(Equal(http.StatusOK))
		refused := 0
		for range callers {
			answer := ask(ctx)
			if answer.status == http.StatusOK {
				continue
			}
			refused++
			Expect(answer.status).To(Equal(http.StatusServiceUnavailable))
			Expect(answer.outcome).To(Equal("not-run"))
			Expect(answer.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(float64(engine.counted())).To(BeNumerically("<=", ratelimit.Allowed(0.3)))
		Expect(refused).To(BeNumerically(">=", callers-int(ratelimit.Allowed(0.3))))
	})

	It("leaves the rest to one that takes more", SpecTimeout(specTimeout), func(ctx SpecContext) {
		engine, free := newNaming("0.3"), newNaming("")
		at.serveAt(engine.address(), free.address())
		for range callers {
			Expect(ask(ctx).status).To(Equal(http.StatusOK))
		}
		Expect(float64(engine.counted())).To(BeNumerically("<=", ratelimit.Allowed(0.3)))
	})

	It("is sent to as before if what it names is no limit", SpecTimeout(specTimeout), func(ctx SpecContext) {
		engine := newNaming("few")
		at.serveAt(engine.address())
		for range callers {
			Expect(ask(ctx).status).To(Equal(http.StatusOK))
		}
	})
})
