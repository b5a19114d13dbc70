package standin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// cacheListener is an instance that takes cache events and nothing else.
type cacheListener chan upstreamapi.CacheEvents

func (l cacheListener) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	if r.URL.Path == upstreamapi.CacheEventsPath {
		var events upstreamapi.CacheEvents
		if err := json.NewDecoder(r.Body).Decode(&events); err != nil {
			return nil, err
		}
		l <- events
	}
	w.WriteHeader(http.StatusNoContent)
	return w.Result(), nil
}

func ask(engine *standin.Engine, id, prefixes string) string {
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"letters","prompt":"one two three four"}`))
	r.Header.Set(upstreamapi.RequestIDHeader, id)
	r.Header.Set(upstreamapi.PrefixHeader, prefixes)
	w := httptest.NewRecorder()
	engine.ServeHTTP(w, r)
	return w.Header().Get(upstreamapi.CachedTokensHeader)
}

func exported(engine *standin.Engine, body string) (upstreamapi.KVExported, int) {
	w := post(engine, upstreamapi.KVExportsPath, "", body)
	var answer upstreamapi.KVExported
	ExpectWithOffset(1, json.Unmarshal(w.Body.Bytes(), &answer)).To(Succeed())
	return answer, w.Code
}

func imported(engine *standin.Engine, token string) int {
	body, err := json.Marshal(upstreamapi.KVImport{Token: token, From: "127.0.0.1:7701"})
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return post(engine, upstreamapi.KVImportsPath, "", string(body)).Code
}

var _ = Describe("Prefix cache", func() {
	var (
		clock    *standin.ManualClock
		listener cacheListener
		options  standin.EngineOptions
	)

	BeforeEach(func() {
		clock = standin.NewManualClock(start)
		listener = make(cacheListener, 16)
		options = standin.EngineOptions{
			Name: "engine-1", Incarnation: incarnation, Resident: letters, Clock: clock, CachedPrefixes: 2,
			Announce: standin.AnnounceOptions{To: []string{"one"}, Client: &http.Client{Transport: listener}},
		}
	})

	build := func() *standin.Engine {
		engine := standin.NewEngine(options)
		DeferCleanup(func() { _ = engine.Close(context.Background()) })
		return engine
	}

	It("answers from what it has cached, and publishes what changes", func() {
		engine := build()
		Expect(ask(engine, "r1", "p1, p2")).To(Equal("0"))
		first := <-listener
		Expect(first).To(Equal(upstreamapi.CacheEvents{
			Name: "engine-1", Incarnation: incarnation, First: 1,
			Events: []upstreamapi.CacheEvent{
				{Kind: upstreamapi.CacheStored, Model: "letters", Prefix: "p1", Tokens: 2},
				{Kind: upstreamapi.CacheStored, Model: "letters", Prefix: "p2", Tokens: 4},
			},
		}))
		Expect(ask(engine, "r2", "p1, p3")).To(Equal("2"))
		second := <-listener
		Expect(second.First).To(Equal(first.Next()))
		Expect(second.Events[1]).To(Equal(upstreamapi.CacheEvent{
			Kind: upstreamapi.CacheEvicted, Model: "letters", Prefix: "p2",
		}))
	})

	// Events arrive late and some never do. The number of the next tells it.
	It("publishes late and with gaps if it is told to", func() {
		options.Faults.CacheEventDelay = time.Second
		options.Faults.LoseCacheEvent = func(number uint64) bool { return number == 2 }
		engine := build()
		ask(engine, "r1", "p1,p2,p3")
		clock.AwaitWaiters(2)
		Expect(listener).To(BeEmpty())
		clock.Advance(time.Second)
		before, after := <-listener, <-listener
		Expect(before.Next()).To(BeEquivalentTo(2))
		Expect(before.Age).To(Equal(time.Second))
		Expect(after.First).To(BeEquivalentTo(3))
		Expect(after.Check()).To(BeZero())
	})

	It("moves a prefix to another engine by an opaque token", func() {
		engine, other := build(), build()
		ask(engine, "r1", "p1,p2")
		export, code := exported(engine, `{"request-id":"r1","model":"letters"}`)
		Expect(code).To(Equal(http.StatusOK))
		Expect(export.Tokens).To(Equal(4))
		Expect(imported(other, export.Token)).To(Equal(http.StatusOK))
		Expect(ask(other, "r2", "p1,p2")).To(Equal("4"))

		Expect(imported(other, export.Token+"x")).To(Equal(http.StatusUnprocessableEntity))
		_, code = exported(engine, `{"prefix":"p9","model":"letters"}`)
		Expect(code).To(Equal(http.StatusNotFound))
		clock.Advance(export.KeptFor + 1)
		Expect(imported(other, export.Token)).To(Equal(http.StatusGone))
	})

	It("imports only for a model that it holds", func() {
		engine := build()
		ask(engine, "r1", "p1")
		export, _ := exported(engine, `{"prefix":"p1","model":"letters"}`)
		options.Resident = nil
		Expect(imported(build(), export.Token)).To(Equal(http.StatusConflict))
	})
})
