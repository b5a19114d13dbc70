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
	// Callers of most adapters were refused for as long as the day lasted: 103 of 300 models
	// and adapters were never served. Whatever kept the leader from loading (a lease, no
	// place, a lack of processor time) had each of 86 entry instances ask for each missing
	// adapter ten times a second. Those calls took the leader's time, its heartbeats came
	// late and it was replaced: nine leaders in 22 s, 9,985 of 11,148 failed calls answered
	// "this instance gives no orders". A new leader has to wait before it orders, so that
	// still more calls came.
	It("are bounded, however many callers wait for adapters that the leader can't load", func() {
		const instances, adapters = 86, 60
		e := newEntry()
		e.control.among(instances)
		e.control.announce("u", "127.0.0.1:9", "m")
		Eventually(func() int { return e.counter.Instances() }, specTimeout).Should(Equal(instances))
		began := time.Now()
		var callers sync.WaitGroup
		for i := range adapters {
			callers.Go(func() {
				request := httptest.NewRequest(http.MethodPost, "http://spec.test/write/", nil)
				call := counter.Call{ID: fmt.Sprint(i), Patience: 5 * time.Second, Model: "m", Adapter: fmt.Sprint("a", i)}
				e.counter.Serve(httptest.NewRecorder(), request, call)
			})
		}
		callers.Wait()
		// A leader with 0.12 of a core has time for about 300 calls a second beside the rest.
		const leaderCalls, burst = 300.0, 10.0
		share := leaderCalls / instances * time.Since(began).Seconds()
		Expect(e.control.wanted()).To(BeNumerically(">", 0))
		Expect(e.control.wanted()).To(BeNumerically("<=", burst+share))
	})

	// A model has just been loaded, and its owner is asked for 30 adapters at once. By its
	// share, one call a second among 291 instances of which most call for nothing, the last
	// caller waits for half a minute.
	It("are as many as the leader carries out, where one instance has much to call for", func() {
		const share, adapters = 300.0 / 291, 30
		pace := counter.NewLoadLimiter()
		made := 0
		for millis := 0; millis < 3000 && made < adapters; millis += 10 {
			now := start.Add(time.Duration(millis) * time.Millisecond)
			adapter := fmt.Sprint("a", made)
			if pace.Allow(now, adapter, share) {
				made++
				pace.RecordResult(now, adapter, true)
			}
		}
		Expect(made).To(Equal(adapters))
	})

	It("are no more than the share again once they are not carried out", func() {
		const share = 1.0
		pace := counter.NewLoadLimiter()
		call := func(from, millis int, loaded bool) (made int) {
			for at := from; at < from+millis; at += 10 {
				now := start.Add(time.Duration(at) * time.Millisecond)
				adapter := fmt.Sprint("a", at)
				if pace.Allow(now, adapter, share) {
					made++
					pace.RecordResult(now, adapter, loaded)
				}
			}
			return made
		}
		Expect(call(0, 3000, true)).To(BeNumerically(">", 30))
		call(3000, 2000, false)
		Expect(call(5000, 10_000, false)).To(BeNumerically("<=", 11))
	})
})
