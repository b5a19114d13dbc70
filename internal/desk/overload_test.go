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
	var server *testServer

	BeforeEach(func() { server = newTestServer(newFakeVoters(), "a") })

	complete := func(ctx SpecContext) callerReply {
		return server.call(ctx, http.MethodPost, "/v1/chat/completions", "", `{"model":"m"}`)
	}

	// The only engine runs one request at a time. Of four requests one runs and two wait, as
	// they are expected to start before their deadline of 10 s. The fourth would wait too long:
	// it is refused immediately with a time to retry, and is not sent to the engine.
	It("lets a request wait for a place, and refuses at once what would wait too long", SpecTimeout(specTimeout), func(ctx SpecContext) {
		release := make(chan struct{})
		var running, maxConcurrent atomic.Int32
		engine := newFakeUpstream(func(w http.ResponseWriter, _ *http.Request) {
			maxConcurrent.Store(max(maxConcurrent.Load(), running.Add(1)))
			<-release
			running.Add(-1)
			w.WriteHeader(http.StatusOK)
		})
		server.maxRunning = 1
		server.setUpstreams(engine.address())

		const callers = 4
		replies := make(chan callerReply, callers)
		for range callers {
			go func() { replies <- complete(ctx) }()
		}
		refused := <-replies
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.outcome).To(Equal("not-run"))
		Expect(refused.body).To(ContainSubstring(string(desk.CodeOverloaded)))
		seconds, err := strconv.Atoi(refused.header.Get("Retry-After"))
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(BeNumerically(">", 0))

		close(release)
		for range callers - 1 {
			reply := <-replies
			Expect(reply.status).To(Equal(http.StatusOK), reply.body)
		}
		Expect(engine.runCount()).To(Equal(3))
		Expect(maxConcurrent.Load()).To(Equal(int32(1)))
	})

	// The caller of a queued request disconnects. The request must leave the queue and never
	// run.
	It("removes a queued request whose caller disconnected", SpecTimeout(specTimeout), func(ctx SpecContext) {
		release := make(chan struct{})
		engine := newFakeUpstream(func(http.ResponseWriter, *http.Request) { <-release })
		server.maxRunning = 1
		server.setUpstreams(engine.address())
		first := make(chan callerReply, 1)
		go func() { first <- complete(ctx) }()
		Eventually(engine.runCount).Should(Equal(1))

		callCtx, disconnect := context.WithCancel(ctx)
		disconnected := make(chan callerReply, 1)
		go func() {
			disconnected <- server.call(callCtx, http.MethodPost, "/v1/chat/completions", "", `{"model":"m"}`)
		}()
		Eventually(server.api.ActiveRequests).Should(Equal(2))
		disconnect()
		Expect((<-disconnected).cutOff).To(BeTrue())
		Eventually(server.api.ActiveRequests).Should(Equal(1))
		close(release)
		Expect((<-first).status).To(Equal(http.StatusOK))
		Expect(complete(ctx).status).To(Equal(http.StatusOK))
		Expect(engine.runCount()).To(Equal(2))
	})

	// Three engines are idle, and one has reported that it caches the prompt's prefix, so it
	// gets the request. Requests carry the names of their prefixes, which the engines quote in
	// cache events.
	It("sends a prompt to the engine that caches its prefix", SpecTimeout(specTimeout), func(ctx SpecContext) {
		var prefixHeader atomic.Value
		recordPrefixes := func(w http.ResponseWriter, r *http.Request) {
			prefixHeader.Store(r.Header.Get(upstreamapi.PrefixHeader))
		}
		engines := []*fakeUpstream{newFakeUpstream(recordPrefixes), newFakeUpstream(recordPrefixes), newFakeUpstream(recordPrefixes)}
		server.setUpstreams(engines[0].address(), engines[1].address(), engines[2].address())
		prompt := `{"model":"m","prompt":"` + strings.Repeat("x", 900) + `"}`
		server.call(ctx, http.MethodPost, "/v1/completions", "", prompt)
		first := 0
		for n, engine := range engines {
			if engine.runCount() > 0 {
				first = n
			}
		}
		other := (first + 1) % len(engines)
		stored := upstreamapi.CacheEvents{Name: "engine-" + strconv.Itoa(other), First: 1}
		evicted := upstreamapi.CacheEvents{Name: "engine-" + strconv.Itoa(first), First: 1}
		for name := range strings.SplitSeq(prefixHeader.Load().(string), ",") {
			stored.Events = append(stored.Events, upstreamapi.CacheEvent{Kind: upstreamapi.CacheStored, Prefix: name})
			evicted.Events = append(evicted.Events, upstreamapi.CacheEvent{Kind: upstreamapi.CacheEvicted, Prefix: name})
		}
		Expect(stored.Events).To(HaveLen(1))
		server.api.ApplyCacheEvents(time.Now(), stored)
		server.api.ApplyCacheEvents(time.Now(), evicted)
		for range 5 {
			server.call(ctx, http.MethodPost, "/v1/completions", "", prompt)
		}
		Expect(engines[other].runCount()).To(Equal(5))
	})

	// One engine receives the request and dies, the other refuses the connection. Whichever is
	// tried last, the outcome must be unknown, as the engine that died may have run the
	// request.
	It("tells what may have run, whichever attempt came last", SpecTimeout(specTimeout), func(ctx SpecContext) {
		dying := newFakeUpstream(closeWithoutResponse)
		server.setUpstreams(dying.address(), closedAddress())
		for range 4 {
			Expect(complete(ctx).outcome).To(Equal("unknown"))
		}
	})

	// All engines refuse. Each request is tried three times while the retry budget lasts, and
	// only once after that.
	It("numbers the attempts, and stops retrying when the budget is spent", SpecTimeout(specTimeout), func(ctx SpecContext) {
		var attempts sync.Map
		refusing := func(w http.ResponseWriter, r *http.Request) {
			attempts.Store(r.Header.Get(retry.AttemptHeader), true)
			refuseNotRun(w, r)
		}
		engines := []*fakeUpstream{newFakeUpstream(refusing), newFakeUpstream(refusing), newFakeUpstream(refusing)}
		server.setUpstreams(engines[0].address(), engines[1].address(), engines[2].address())
		const callers = 30
		for range callers {
			reply := complete(ctx)
			Expect(reply.outcome).To(Equal("not-run"))
		}
		sent := 0
		for _, engine := range engines {
			sent += engine.runCount()
		}
		Expect(sent).To(BeNumerically("<=", callers+15))
		for _, number := range []string{"1", "2", "3"} {
			_, ok := attempts.Load(number)
			Expect(ok).To(BeTrue(), number)
		}
	})
})
