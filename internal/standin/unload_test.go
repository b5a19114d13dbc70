package standin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// A model is unloaded while a request uses it. New requests are rejected at
// once, the active request completes, and the memory is freed only afterwards.
//
// The test runs in a synctest bubble because it asserts that something does not
// happen: synctest.Wait returns once all goroutines are blocked.
func TestUnloadAwaitsItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		clock := standin.NewManualClock(start)
		engine := standin.NewEngine(standin.EngineOptions{
			Name: "engine-1", Incarnation: incarnation, Clock: clock,
			Accelerators:    []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 100}},
			Resident:        []upstreamapi.Resident{{Model: "letters", Accelerators: []string{"a0"}, MemoryBytes: 40}},
			FirstTokenDelay: time.Minute,
		})
		defer func() { _ = engine.Close(context.Background()) }()

		responses := make(chan *httptest.ResponseRecorder, 1)
		go func() { responses <- post(engine, "/v1/completions", "r1", `{"model":"letters","prompt":"one"}`) }()
		synctest.Wait()
		sendOrder(engine, unloadOrder("o1", "letters"))
		synctest.Wait()
		Expect(orderState(engine, "o1")).To(Equal(upstreamapi.OrderRunning))
		Expect(usedBytes(engine)).To(BeEquivalentTo(40))
		Expect(bytesInProgress(engine)).To(BeEquivalentTo(40))
		rejected := post(engine, "/v1/completions", "r2", `{"model":"letters","prompt":"two"}`)
		Expect(rejected.Code).To(Equal(http.StatusNotFound))

		clock.Advance(time.Minute)
		synctest.Wait()
		Expect(decode((<-responses).Body.String()).Choices[0].Text).To(Equal("one"))
		Expect(orderState(engine, "o1")).To(Equal(upstreamapi.OrderDone))
		Expect(usedBytes(engine)).To(BeZero())
	})
}
