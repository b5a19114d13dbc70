package counter_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
)

// pausingWriter is the response writer of a caller that takes the last bytes of a body only after a pause.
type pausingWriter struct {
	*httptest.ResponseRecorder
	bodyBytes      int
	paused, resume chan struct{}
}

func (w *pausingWriter) Write(piece []byte) (int, error) {
	if w.Body.Len()+len(piece) == w.bodyBytes {
		close(w.paused)
		<-w.resume
	}
	return w.ResponseRecorder.Write(piece)
}

// It was broken off although its upstream had long ended it, and its last bytes had been written.
var _ = It("A long response whose caller takes the last bytes when a planned stop ends is whole", SpecTimeout(specTimeout), func(ctx SpecContext) {
	const bodyBytes = 4 << 20
	u := newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(idHeader, r.Header.Get(idHeader))
		_, _ = io.ReadAll(r.Body)
		if r.URL.Path == "/book/" {
			<-r.Context().Done()
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(bodyBytes))
		_, _ = io.WriteString(w, strings.Repeat("seats 7\n", bodyBytes/len("seats 7\n")))
	})
	p := newTestProxy(u)
	caller := &pausingWriter{
		ResponseRecorder: httptest.NewRecorder(), bodyBytes: bodyBytes, paused: make(chan struct{}), resume: make(chan struct{}),
	}
	aborted := make(chan any, 1)
	go func() {
		defer func() { aborted <- recover() }()
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://spec.test/look/", http.NoBody)
		request.Header.Set(idHeader, "r1")
		p.proxy.ServeRequest(caller, request, counter.Call{ID: "r1", Timeout: 10 * time.Second})
	}()
	Eventually(ctx, caller.paused).Should(BeClosed())
	stopped := make(chan int, 1)
	go func() {
		defer GinkgoRecover()
		response, _, err := p.send(ctx, http.MethodPost, "/book/", "seat 7")
		Expect(err).NotTo(HaveOccurred())
		stopped <- response.StatusCode
	}()
	Eventually(ctx, u.count).Should(Equal(2))
	p.proxy.Drain(p.now(), graceOf(0, time.Millisecond))
	Eventually(ctx, stopped).Should(Receive(Equal(http.StatusBadGateway)), "the stop has ended")
	close(caller.resume)
	var panicked any
	Eventually(ctx, aborted).Should(Receive(&panicked))
	Expect(panicked).To(BeNil())
	Expect(caller.Body.Len()).To(Equal(bodyBytes))
	Expect(p.proxy.DrainSummary().Whole).To(Equal(1))
})
