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

// A caller reads its answer while the model is unloaded. New requests are
// refused at once, the answer ends whole, and the memory is free only after it.
//
// The test runs in a bubble, because it shows that something does not happen:
// synctest.Wait returns once every goroutine has done what it can.
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

		answers := make(chan *httptest.ResponseRecorder, 1)
		go func() { answers <- post(engine, "/v1/completions", "r1", `{"model":"letters","prompt":"one"}`) }()
		synctest.Wait()
		give(engine, unload("o1", "letters"))
		synctest.Wait()
		Expect(state(engine, "o1")).To(Equal(upstreamapi.OrderRunning))
		Expect(used(engine)).To(BeEquivalentTo(40))
		Expect(underWay(engine)).To(BeEquivalentTo(40))
		refused := post(engine, "/v1/completions", "r2", `{"model":"letters","prompt":"two"}`)
		Expect(refused.Code).To(Equal(http.StatusNotFound))

		clock.Advance(time.Minute)
		synctest.Wait()
		Expect(decode((<-answers).Body.String()).Choices[0].Text).To(Equal("one"))
		Expect(state(engine, "o1")).To(Equal(upstreamapi.OrderDone))
		Expect(used(engine)).To(BeZero())
	})
}
