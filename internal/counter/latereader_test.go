package counter_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/outcome"
)

// lateReader is the response writer of a caller that reads nothing until its connection is closed.
type lateReader struct {
	*httptest.ResponseRecorder
	once    sync.Once
	writing chan struct{}
	closed  <-chan struct{}
}

func (c *lateReader) Write([]byte) (int, error) {
	c.once.Do(func() { close(c.writing) })
	<-c.closed
	return 0, net.ErrClosed
}

// It was counted as left by its caller.
var _ = It("A stream whose caller reads so late that a stop closes its connection is counted as ended by the stop", func(ctx SpecContext) {
	p := newTestProxy(newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		w.Header().Set(idHeader, r.Header.Get(idHeader))
		w.Header().Set("Content-Type", eventStream)
		_, _ = io.WriteString(w, "data: a\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	Eventually(ctx, p.firstSynced).Should(BeTrue())
	calling, closeConnection := context.WithCancel(ctx)
	caller := &lateReader{ResponseRecorder: httptest.NewRecorder(), writing: make(chan struct{}), closed: calling.Done()}
	ended := make(chan any, 1)
	go func() {
		defer func() { ended <- recover() }()
		request := httptest.NewRequestWithContext(calling, http.MethodPost, "http://spec.test/write/", http.NoBody)
		request.Header.Set(idHeader, "r1")
		p.proxy.ServeRequest(caller, request, counter.Call{ID: "r1", Timeout: time.Minute})
	}()
	Eventually(ctx, caller.writing).Should(BeClosed())
	p.proxy.Drain(p.now(), graceOf(0, time.Millisecond))
	Eventually(ctx, p.arrivals).Should(Equal(1))
	time.AfterFunc(100*time.Millisecond, closeConnection)
	Eventually(ctx, ended).Should(Receive())
	Expect(p.proxy.DrainSummary().EndedEarly).To(Equal(map[outcome.EarlyEnd]int{outcome.InstanceStopped: 1}))
}, SpecTimeout(specTimeout))
