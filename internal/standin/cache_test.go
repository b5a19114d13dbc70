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

// cacheEventSink is an instance that records cache events and ignores other
// messages.
type cacheEventSink chan upstreamapi.CacheEvents

func (s cacheEventSink) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	if r.URL.Path == upstreamapi.CacheEventsPath {
		var events upstreamapi.CacheEvents
		if err := json.NewDecoder(r.Body).Decode(&events); err != nil {
			return nil, err
		}
		s <- events
	}
	w.WriteHeader(http.StatusNoContent)
	return w.Result(), nil
}

func complete(engine *standin.Engine, id, prefixes string) string {
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"letters","prompt":"one two three four"}`))
	r.Header.Set(upstreamapi.RequestIDHeader, id)
	r.Header.Set(upstreamapi.PrefixHeader, prefixes)
	w := httptest.NewRecorder()
	engine.ServeHTTP(w, r)
	return w.Header().Get(upstreamapi.CachedTokensHeader)
}

func exportKV(engine *standin.Engine, body string) (upstreamapi.KVExported, int) {
	w := post(engine, upstreamapi.KVExportsPath, "", body)
	var exported upstreamapi.KVExported
	ExpectWithOffset(1, json.Unmarshal(w.Body.Bytes(), &exported)).To(Succeed())
	return exported, w.Code
}

func importKV(engine *standin.Engine, token string) int {
	body, err := json.Marshal(upstreamapi.KVImport{Token: token, From: "127.0.0.1:7701"})
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return post(engine, upstreamapi.KVImportsPath, "", string(body)).Code
}

var _ = Describe("Prefix cache", func() {
	var (
		clock   *standin.ManualClock
		sink    cacheEventSink
		options standin.EngineOptions
	)

	BeforeEach(func() {
		clock = standin.NewManualClock(start)
		sink = make(cacheEventSink, 16)
		options = standin.EngineOptions{
			Name: "engine-1", Incarnation: incarnation, Resident: letters, Clock: clock, CachedPrefixes: 2,
			Announce: standin.AnnounceOptions{To: []string{"one"}, Client: &http.Client{Transport: sink}},
		}
	})

	newEngine := func() *standin.Engine {
		engine := standin.NewEngine(options)
		DeferCleanup(func() { _ = engine.Close(context.Background()) })
		return engine
	}

	It("reports cached prompt tokens and publishes changes of the cache", func() {
		engine := newEngine()
		Expect(complete(engine, "r1", "p1, p2")).To(Equal("0"))
		first := <-sink
		Expect(first).To(Equal(upstreamapi.CacheEvents{
			Name: "engine-1", Incarnation: incarnation, First: 1,
			Events: []upstreamapi.CacheEvent{
				{Kind: upstreamapi.CacheStored, Model: "letters", Prefix: "p1", Tokens: 2},
				{Kind: upstreamapi.CacheStored, Model: "letters", Prefix: "p2", Tokens: 4},
			},
		}))
		Expect(complete(engine, "r2", "p1, p3")).To(Equal("2"))
		second := <-sink
		Expect(second.First).To(Equal(first.Next()))
		Expect(second.Events[1]).To(Equal(upstreamapi.CacheEvent{
			Kind: upstreamapi.CacheEvicted, Model: "letters", Prefix: "p2",
		}))
	})

	// Events may arrive late or never. Receivers detect the gap by the number
	// of the next event.
	It("publishes late and with gaps if configured to", func() {
		options.Faults.CacheEventDelay = time.Second
		options.Faults.LoseCacheEvent = func(number uint64) bool { return number == 2 }
		engine := newEngine()
		complete(engine, "r1", "p1,p2,p3")
		clock.AwaitTimers(2)
		Expect(sink).To(BeEmpty())
		clock.Advance(time.Second)
		before, after := <-sink, <-sink
		Expect(before.Next()).To(BeEquivalentTo(2))
		Expect(before.Age).To(Equal(time.Second))
		Expect(after.First).To(BeEquivalentTo(3))
		Expect(after.Check()).To(BeZero())
	})

	It("transfers a prefix to another engine with an opaque token", func() {
		engine, other := newEngine(), newEngine()
		complete(engine, "r1", "p1,p2")
		export, code := exportKV(engine, `{"request-id":"r1","model":"letters"}`)
		Expect(code).To(Equal(http.StatusOK))
		Expect(export.Tokens).To(Equal(4))
		Expect(importKV(other, export.Token)).To(Equal(http.StatusOK))
		Expect(complete(other, "r2", "p1,p2")).To(Equal("4"))

		Expect(importKV(other, export.Token+"x")).To(Equal(http.StatusUnprocessableEntity))
		_, code = exportKV(engine, `{"prefix":"p9","model":"letters"}`)
		Expect(code).To(Equal(http.StatusNotFound))
		clock.Advance(export.KeptFor + 1)
		Expect(importKV(other, export.Token)).To(Equal(http.StatusGone))
	})

	It("imports only for a loaded model", func() {
		engine := newEngine()
		complete(engine, "r1", "p1")
		export, _ := exportKV(engine, `{"prefix":"p1","model":"letters"}`)
		options.Resident = nil
		Expect(importKV(newEngine(), export.Token)).To(Equal(http.StatusConflict))
	})
})
