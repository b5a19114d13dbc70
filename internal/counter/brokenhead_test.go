package counter_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/standin"
)

// respondBroken sends the broken response whose number the last part of the path states.
func respondBroken(w http.ResponseWriter, r *http.Request) {
	defer GinkgoRecover()
	_, _ = io.ReadAll(r.Body)
	number, err := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	Expect(err).NotTo(HaveOccurred())
	id := idHeader + ": " + r.Header.Get(idHeader) + "\r\n"
	Expect(standin.BrokenResponses[number].Send(w, r, id, "Lovagelift-Relay-Result: answered\r\n")).To(Succeed())
}

// Callers got such responses as answers, or no answer at all.
var _ = Describe("A broken response", func() {
	DescribeTable("is reported as a failed attempt", func(ctx SpecContext, way way) {
		url := way.start(respondBroken)
		for number, broken := range standin.BrokenResponses {
			for _, route := range []string{"look", "book", "write", "draft"} {
				view := fetch(ctx, url, fmt.Sprintf("/%s/%d", route, number))
				what := fmt.Sprintf("%s, %s: got %+v", broken.Name, route, view)
				if broken.InTrailer && (route == "write" || route == "draft") {
					Expect(view.err).To(HaveOccurred(), what)
					continue
				}
				Expect(view.err).NotTo(HaveOccurred(), what)
				Expect(view.status).To(Equal(http.StatusBadGateway), what)
			}
		}
	},
		Entry("directly", SpecTimeout(cutsTimeout), cutWays[0]),
		Entry("through a peer", SpecTimeout(cutsTimeout), cutWays[1]),
		Entry("by a peer", SpecTimeout(cutsTimeout), cutWays[2]),
	)

	It("is replaced by that of another upstream if the request is idempotent, and its upstream is avoided", func(ctx SpecContext) {
		for number, broken := range standin.BrokenResponses {
			faulty := newFakeUpstream(respondBroken)
			p := newTestProxy(faulty, newFakeUpstream(succeed))
			for range 20 {
				view := fetch(ctx, p.server.URL, fmt.Sprintf("/look/%d", number))
				Expect(view.err).NotTo(HaveOccurred(), broken.Name)
				Expect(view.body).To(HavePrefix("POST /look/"), "%s: got %+v", broken.Name, view)
			}
			Expect(faulty.count()).To(And(BeNumerically(">", 0), BeNumerically("<=", 3)), broken.Name)
		}
	}, SpecTimeout(cutsTimeout))

	It("is received once if the request must not run twice", func(ctx SpecContext) {
		for number, broken := range standin.BrokenResponses {
			p := newTestProxy(newFakeUpstream(respondBroken), newFakeUpstream(respondBroken))
			Expect(fetch(ctx, p.server.URL, fmt.Sprintf("/book/%d", number)).status).To(Equal(http.StatusBadGateway), broken.Name)
			Expect(p.arrivals()).To(Equal(1), broken.Name)
		}
	}, SpecTimeout(cutsTimeout))

	It("does not confirm that an upstream still runs", func(ctx SpecContext) {
		var calls sync.WaitGroup
		for _, broken := range standin.BrokenResponses {
			if broken.InTrailer {
				continue
			}
			u := newFakeUpstream(respondUntilClose("text/plain", "booked"))
			u.answerLiveness = func(w http.ResponseWriter, r *http.Request) { _ = broken.Send(w, r) }
			url := newTestProxy(u).server.URL
			calls.Go(func() {
				defer GinkgoRecover()
				view := fetch(ctx, url, "/book/")
				Expect(view.isVisiblyIncomplete()).To(BeTrue(), "%s: got %+v", broken.Name, view)
			})
		}
		calls.Wait()
	}, SpecTimeout(cutsTimeout))
})

// The attempt counted twice, so that the request was never sent to another upstream.
var _ = It("A response that belongs to another request is replaced by that of another upstream if the request is idempotent", func(ctx SpecContext) {
	faulty := newFakeUpstream(respondAfterReading("HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nContent-Length: 4\r\n\r\nseat"))
	p := newTestProxy(faulty, newFakeUpstream(succeed))
	for range 20 {
		view := fetch(ctx, p.server.URL, "/look/")
		Expect(view.body).To(HavePrefix("POST /look/"), "got %+v", view)
	}
	Expect(faulty.count()).To(And(BeNumerically(">", 0), BeNumerically("<=", 3)))
}, SpecTimeout(specTimeout))
