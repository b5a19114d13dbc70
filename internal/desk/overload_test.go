package desk_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/retry"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

var _ = Describe("routing", func() {
	var at *entrance

	BeforeEach(func() { at = newEntrance(newVoters(), "a") })

	ask := func(ctx SpecContext) told {
		return at.call(ctx, http.MethodPost, "/v1/chat/completions", "", `{"model":"m"}`)
	}

	// One engine runs one request at a time and is busy. Two callers can be served
	// before their deadline of ten seconds, as far as is known, and wait. The
	// fourth can't: it is told so at once, with the time to come back, and its
	// request reaches no engine.
	It("lets a request wait for a place, and refuses at once what would wait too long", SpecTimeout(specTimeout), func(ctx SpecContext) {
		release := make(chan struct{})
		var running, most atomic.Int32
		engine := newBookings(func(w http.ResponseWriter, _ *http.Request) {
			most.Store(max(most.Load(), running.Add(1)))
			<-release
			running.Add(-1)
			w.WriteHeader(http.StatusOK)
		})
		at.places = 1
		at.serveAt(engine.address())

		const callers = 4
		answers := make(chan told, callers)
		for range callers {
			go func() { answers <- ask(ctx) }()
		}
		refused := <-answers
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.outcome).To(Equal("not-run"))
		Expect(refused.body).To(ContainSubstring(string(desk.CodeOverloaded)))
		seconds, err := strconv.Atoi(refused.header.Get("Retry-After"))
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(BeNumerically(">", 0))

		close(release)
		for range callers - 1 {
			answer := <-answers
			Expect(answer.status).To(Equal(http.StatusOK), answer.body)
		}
		Expect(engine.counted()).To(Equal(3))
		Expect(most.Load()).To(Equal(int32(1)))
	})

	// The caller of a waiting request hangs up. Its place in the queue is given
	// back: the request must not run for nobody later.
	It("forgets a waiting request whose caller has gone", SpecTimeout(specTimeout), func(ctx SpecContext) {
		release := make(chan struct{})
		engine := newBookings(func(http.ResponseWriter, *http.Request) { <-release })
		at.places = 1
		at.serveAt(engine.address())
		first := make(chan told, 1)
		go func() { first <- ask(ctx) }()
		Eventually(engine.counted).Should(Equal(1))

		waiting, hangUp := context.WithCancel(ctx)
		gone := make(chan told, 1)
		go func() {
			gone <- at.call(waiting, http.MethodPost, "/v1/chat/completions", "", `{"model":"m"}`)
		}()
		Eventually(at.desk.Streams).Should(Equal(2))
		hangUp()
		Expect((<-gone).cutOff).To(BeTrue())
		Eventually(at.desk.Streams).Should(Equal(1))
		close(release)
		Expect((<-first).status).To(Equal(http.StatusOK))
		Expect(ask(ctx).status).To(Equal(http.StatusOK))
		Expect(engine.counted()).To(Equal(2))
	})

	// Three engines are idle, and one has told that it holds the beginning of the
	// prompt: it gets the request, which names the prefixes for its next events.
	It("sends a prompt to the engine that holds its beginning", SpecTimeout(specTimeout), func(ctx SpecContext) {
		var names atomic.Value
		keep := func(w http.ResponseWriter, r *http.Request) { names.Store(r.Header.Get(upstreamapi.PrefixHeader)) }
		engines := []*bookings{newBookings(keep), newBookings(keep), newBookings(keep)}
		at.serveAt(engines[0].address(), engines[1].address(), engines[2].address())
		prompt := `{"model":"m","prompt":"` + strings.Repeat("x", 900) + `"}`
		at.call(ctx, http.MethodPost, "/v1/completions", "", prompt)
		first := 0
		for n, engine := range engines {
			if engine.counted() > 0 {
				first = n
			}
		}
		other := (first + 1) % len(engines)
		events := upstreamapi.CacheEvents{Name: "engine-" + strconv.Itoa(other), First: 1}
		evicted := upstreamapi.CacheEvents{Name: "engine-" + strconv.Itoa(first), First: 1}
		for name := range strings.SplitSeq(names.Load().(string), ",") {
			events.Events = append(events.Events, upstreamapi.CacheEvent{Kind: upstreamapi.CacheStored, Prefix: name})
			evicted.Events = append(evicted.Events, upstreamapi.CacheEvent{Kind: upstreamapi.CacheEvicted, Prefix: name})
		}
		Expect(events.Events).To(HaveLen(1))
		at.desk.Cached(time.Now(), events)
		at.desk.Cached(time.Now(), evicted)
		for range 5 {
			at.call(ctx, http.MethodPost, "/v1/completions", "", prompt)
		}
		Expect(engines[other].counted()).To(Equal(5))
	})

	// One engine takes the request and dies, the other can't be reached. That the
	// last attempt did not run is no comfort: the first may have.
	It("tells what may have run, whichever attempt came last", SpecTimeout(specTimeout), func(ctx SpecContext) {
		dying := newBookings(die)
		at.serveAt(dying.address(), nobody())
		for range 4 {
			Expect(ask(ctx).outcome).To(Equal("unknown"))
		}
	})

	// All engines refuse. Each caller's request is tried three times as long as the
	// budget of retries lasts, and once after that.
	It("numbers the attempts, and stops retrying when the budget is spent", SpecTimeout(specTimeout), func(ctx SpecContext) {
		var attempts sync.Map
		refusing := func(w http.ResponseWriter, r *http.Request) {
			attempts.Store(r.Header.Get(retry.AttemptHeader), true)
			refuse(w, r)
		}
		engines := []*bookings{newBookings(refusing), newBookings(refusing), newBookings(refusing)}
		at.serveAt(engines[0].address(), engines[1].address(), engines[2].address())
		const callers = 30
		for range callers {
			told := ask(ctx)
			Expect(told.outcome).To(Equal("not-run"))
		}
		sent := 0
		for _, engine := range engines {
			sent += engine.counted()
		}
		Expect(sent).To(BeNumerically("<=", callers+15))
		for _, number := range []string{"1", "2", "3"} {
			_, ok := attempts.Load(number)
			Expect(ok).To(BeTrue(), number)
		}
	})
})
