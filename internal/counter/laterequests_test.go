package counter_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/pause"
)

// slowSend sends a request whose body comes some time after its head, and returns the status of the response.
func slowSend(ctx context.Context, address, path string, bodyDelay time.Duration) string {
	GinkgoHelper()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	const body = "seat 7"
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: spec.test\r\nSpec-Request: slow\r\nContent-Length: "+
		strconv.Itoa(len(body))+"\r\nConnection: close\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	pause.For(ctx, bodyDelay)
	_, err = io.WriteString(conn, body)
	Expect(err).NotTo(HaveOccurred())
	response, _ := io.ReadAll(conn)
	status, _, _ := strings.Cut(strings.TrimPrefix(string(response), "HTTP/1.1 "), " ")
	return status
}

var _ = Describe("A request that a stopping instance receives too late", func() {
	const unavailable = http.StatusServiceUnavailable

	// learn completes a request on each path, so that the instance knows how long they take.
	learn := func(ctx SpecContext, url string, paths ...string) {
		GinkgoHelper()
		for _, path := range paths {
			Expect(fetch(ctx, url, path).status).To(Equal(http.StatusOK))
		}
	}

	// Responses too long to be read first were begun and cut.
	It("is refused whatever its kind", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		url := p.startPatient()
		learn(ctx, url, "/patient/", "/write/")
		p.proxy.Drain(p.now(), begunLater(-time.Millisecond, time.Second, 2*time.Second))
		Expect(fetch(ctx, url, "/patient/").status).To(Equal(unavailable))
		Expect(fetch(ctx, url, "/write/").status).To(Equal(unavailable))
		Expect(p.arrivals()).To(Equal(2))
	}, SpecTimeout(specTimeout))

	// The signal to stop was handled late, and the request was taken and cut.
	It("is refused if the instance wakes late", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		url := p.startPatient()
		learn(ctx, url, "/write/")
		p.clockOffset.Store(int64(time.Second))
		Eventually(ctx, p.proxy.WakeDelay).Should(BeNumerically(">", 500*time.Millisecond))
		p.proxy.Drain(p.now(), begunLater(500*time.Millisecond, time.Second, 2*time.Second))
		Expect(fetch(ctx, url, "/write/").status).To(Equal(unavailable))
	}, SpecTimeout(specTimeout))

	// It was taken by the time of its head.
	It("is refused if its body was late", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		url := p.startPatient()
		learn(ctx, url, "/write/")
		p.proxy.Drain(p.now(), begunLater(300*time.Millisecond, time.Second, 2*time.Second))
		address := strings.TrimPrefix(url, "http://")
		Expect(slowSend(ctx, address, "/write/", 0)).To(Equal(strconv.Itoa(http.StatusOK)))
		Expect(slowSend(ctx, address, "/write/", 600*time.Millisecond)).To(Equal(strconv.Itoa(unavailable)))
	}, SpecTimeout(specTimeout))
})

// All ended at once.
var _ = It("A response that has begun runs on after the answers of a stopping instance have ended", func(ctx SpecContext) {
	const answersEnd = 300 * time.Millisecond
	begunFirst := newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		w.Header().Set(idHeader, r.Header.Get(idHeader))
		if strings.HasPrefix(r.URL.Path, "/book/") {
			<-r.Context().Done()
			return
		}
		w.Header().Set("Content-Type", eventStream)
		for _, event := range []string{"data: a\n\n", "data: b\n\n"} {
			_, _ = io.WriteString(w, event)
			_ = http.NewResponseController(w).Flush()
			pause.For(r.Context(), 2*answersEnd)
		}
	})
	p := newTestProxy(begunFirst)
	url := p.startPatient()
	statuses := make(chan int, 1)
	go func() {
		defer GinkgoRecover()
		statuses <- fetch(ctx, url, "/book/").status
	}()
	go func() {
		defer GinkgoRecover()
		Eventually(ctx, p.arrivals).Should(Equal(2))
		p.proxy.Drain(p.now(), begunLater(0, answersEnd, 20*time.Second))
	}()
	view := fetch(ctx, url, "/write/")
	Expect(view.err).NotTo(HaveOccurred())
	Expect(view.body).To(HaveSuffix("data: b\n\n"))
	Eventually(ctx, statuses).Should(Receive(Equal(http.StatusBadGateway)))
	Eventually(ctx, p.proxy.DrainSummary).Should(And(HaveField("Whole", 1), HaveField("Unfinished", 1)))
}, SpecTimeout(specTimeout))
