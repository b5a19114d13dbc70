package counter_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// identity is that of a request as the specs send it.
func identity(method, target, body string) quarantine.Identity {
	return quarantine.Identity{Method: method, Host: "spec.test", Target: target, Body: []byte(body)}
}

// hold has the control instance tell that requests are in quarantine, and waits until the
// entry instance knows.
func (e *entry) hold(ctx context.Context, requests ...quarantine.Identity) {
	GinkgoHelper()
	news := &quarantine.News{Revision: 1, Mark: 1}
	for _, request := range requests {
		news.Quarantined = append(news.Quarantined, quarantine.Entry{Digest: request.Digest()})
	}
	e.control.mu.Lock()
	e.control.quarantine = news
	e.control.mu.Unlock()
	Eventually(ctx, func() uint64 {
		e.control.mu.Lock()
		defer e.control.mu.Unlock()
		return e.control.told[len(e.control.told)-1].Quarantine
	}).Should(Equal(uint64(1)))
}

// reports returns what was reported of upstreams that ended.
func (c *control) reports() []quarantine.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.noted.Reports
}

// ending ends the upstream that runs a request with a body, and answers any other.
func ending(u *upstream, body string) {
	u.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		u.mu.Lock()
		u.arrivals = append(u.arrivals, r.Header.Get(idHeader))
		u.mu.Unlock()
		if string(text) == body {
			u.server.Listener.Close()
			breaking(w, r)
			return
		}
		w.Header().Set(idHeader, r.Header.Get(idHeader))
	})
}

var _ = Describe("A request in quarantine", func() {
	It("is refused at once, and need not come back", func(ctx SpecContext) {
		e := newEntry(newUpstream(good))
		e.hold(ctx, identity(http.MethodPost, "/write/x", "crash"), identity(http.MethodGet, "/look/x?page=1", ""))
		response, text, err := e.ask(ctx, http.MethodPost, "/write/x", "crash")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(response.Header.Get(quarantine.ReasonHeader)).To(Equal(quarantine.Reason))
		Expect(response.Header.Get("Lovagelift-Outcome")).To(Equal("not-run"))
		Expect(response.Header.Get("Retry-After")).To(BeEmpty())
		Expect(text).To(Equal("upstreams end that run this request\n"))
		response, _, err = e.ask(ctx, http.MethodGet, "/look/x?page=1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest), "one without a body")
		Expect(e.arrivals()).To(BeZero())
	}, SpecTimeout(specTimeout))

	// The next attempt has another id and other headers, and may send its body in pieces.
	It("is known by another id and other headers, and in pieces", func(ctx SpecContext) {
		e := newEntry(newUpstream(good))
		e.hold(ctx, identity(http.MethodPost, "/write/x", "crash"))
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL+"/write/x", io.MultiReader(
			strings.NewReader("cra"), strings.NewReader("sh")))
		Expect(err).NotTo(HaveOccurred())
		request.Host = "spec.test"
		request.ContentLength = -1
		request.Header.Set(idHeader, "another")
		request.Header.Set("Last-Event-Id", "7")
		response, err := http.DefaultTransport.RoundTrip(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	}, SpecTimeout(specTimeout))

	It("stands for no request that differs by path, method or body", func(ctx SpecContext) {
		e := newEntry(newUpstream(good))
		e.hold(ctx, identity(http.MethodPost, "/write/x", "crash"))
		for _, other := range [][3]string{
			{http.MethodPost, "/write/y", "crash"},
			{http.MethodPut, "/write/x", "crash"},
			{http.MethodPost, "/write/x", "crash "},
			{http.MethodPost, "/write/x", ""},
		} {
			response, _, err := e.ask(ctx, other[0], other[1], other[2])
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK), "%v", other)
		}
	}, SpecTimeout(specTimeout))
})

var _ = Describe("An upstream that ends", func() {
	It("is reported with what it had, under the digest of each request", func(ctx SpecContext) {
		u := newUpstream(good)
		ending(u, "crash")
		e := newEntry(u)
		response, _, err := e.ask(ctx, http.MethodPost, "/book/x", "crash")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		Eventually(ctx, e.control.reports).Should(Equal([]quarantine.Report{{
			Lifetime: quarantine.Lifetime{Upstream: "u0", Incarnation: 1},
			Suspects: []quarantine.Suspect{{Digest: identity(http.MethodPost, "/book/x", "crash").Digest(), Request: "r1"}},
		}}))
	}, SpecTimeout(specTimeout))

	// A connection that is reset, or an answer that breaks off, is no crash: the upstream
	// still listens.
	It("is told from one that breaks an answer off", func(ctx SpecContext) {
		e := newEntry(newUpstream(breaking))
		for n := range 5 {
			_, _, err := e.ask(ctx, http.MethodPost, "/book/x", fmt.Sprint(n))
			Expect(err).NotTo(HaveOccurred())
		}
		Consistently(e.control.reports).WithTimeout(500 * time.Millisecond).Should(BeEmpty())
	}, SpecTimeout(specTimeout))
})
