package counter_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
)

var _ = Describe("Calls for what no engine holds", func() {
	// A leader can't carry out loads (because of a lease, a lack of space or a lack of CPU time),
	// and each of 86 entry instances calls it for each missing adapter ten times a second. The
	// calls take its CPU time, its heartbeats are late, and it is replaced every few seconds. Each
	// new leader has to wait before it gives orders, which causes still more calls, and a third of
	// the models and adapters is never served.
	It("are bounded, however many callers wait for adapters that the leader can't load", func() {
		const instances, adapters = 86, 60
		p := newTestProxy()
		p.control.setEntryCount(instances)
		p.control.announce("u", "127.0.0.1:9", "m")
		Eventually(func() int { return p.proxy.Instances() }, specTimeout).Should(Equal(instances))
		began := time.Now()
		var callers sync.WaitGroup
		for i := range adapters {
			callers.Go(func() {
				request := httptest.NewRequest(http.MethodPost, "http://spec.test/write/", nil)
				call := counter.Call{ID: fmt.Sprint(i), Timeout: 5 * time.Second, Model: "m", Adapter: fmt.Sprint("a", i)}
				p.proxy.ServeRequest(httptest.NewRecorder(), request, call)
			})
		}
		callers.Wait()
		// A leader with 0.12 of a core has time for about 300 calls a second besides its other
		// work.
		const leaderCalls, burst = 300.0, 10.0
		share := leaderCalls / instances * time.Since(began).Seconds()
		Expect(p.control.loadCallCount()).To(BeNumerically(">", 0))
		Expect(p.control.loadCallCount()).To(BeNumerically("<=", burst+share))
	})

	// The owner of a newly loaded model needs 30 adapters at once. With a share of one call per
	// second, among 291 instances of which most have nothing to load, the last caller would wait
	// for half a minute.
	It("increase above the share while the leader carries them out", func() {
		const share, adapters = 300.0 / 291, 30
		limiter := counter.NewLoadLimiter()
		made := 0
		for millis := 0; millis < 3000 && made < adapters; millis += 10 {
			now := start.Add(time.Duration(millis) * time.Millisecond)
			adapter := fmt.Sprint("a", made)
			if limiter.Allow(now, adapter, share) {
				made++
				limiter.RecordResult(now, adapter, true)
			}
		}
		Expect(made).To(Equal(adapters))
	})

	It("fall back to the share once they fail", func() {
		const share = 1.0
		limiter := counter.NewLoadLimiter()
		call := func(from, millis int, loaded bool) (made int) {
			for at := from; at < from+millis; at += 10 {
				now := start.Add(time.Duration(at) * time.Millisecond)
				adapter := fmt.Sprint("a", at)
				if limiter.Allow(now, adapter, share) {
					made++
					limiter.RecordResult(now, adapter, loaded)
				}
			}
			return made
		}
		Expect(call(0, 3000, true)).To(BeNumerically(">", 30))
		call(3000, 2000, false)
		Expect(call(5000, 10_000, false)).To(BeNumerically("<=", 11))
	})
})
