package standin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const incarnation = 7

func load(id string, fencing uint64, model string, bytes int64) upstreamapi.Order {
	return upstreamapi.Order{
		ID: id, Number: 1, Fencing: fencing, Incarnation: incarnation, Kind: upstreamapi.OrderLoadModel,
		Model: model, Accelerators: []string{"a0"}, MemoryBytes: bytes,
	}
}

func unload(id, model string) upstreamapi.Order {
	return upstreamapi.Order{
		ID: id, Number: 2, Fencing: 1, Incarnation: incarnation, Kind: upstreamapi.OrderUnloadModel, Model: model,
	}
}

func give(handler http.Handler, order upstreamapi.Order) upstreamapi.OrderAnswer {
	body, err := json.Marshal(order)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	var answer upstreamapi.OrderAnswer
	w := post(handler, upstreamapi.OrdersPath, "", string(body))
	ExpectWithOffset(1, json.Unmarshal(w.Body.Bytes(), &answer)).To(Succeed(), w.Body.String())
	return answer
}

func get(handler http.Handler, path string, answer any) int {
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	ExpectWithOffset(1, json.Unmarshal(w.Body.Bytes(), answer)).To(Succeed(), w.Body.String())
	return w.Code
}

// state asks what became of an order.
func state(handler http.Handler, id string) upstreamapi.OrderState {
	var answer upstreamapi.OrderAnswer
	get(handler, upstreamapi.OrdersPath+"/"+id, &answer)
	return answer.State
}

func used(engine *standin.Engine) int64 {
	return *engine.Announcement().Accelerators[0].UsedBytes
}

func underWay(engine *standin.Engine) int64 {
	sum := int64(0)
	for _, order := range engine.Announcement().UnderWay {
		sum += order.MemoryBytes
	}
	return sum
}

var _ = Describe("Orders", func() {
	var (
		clock   *standin.ManualClock
		options standin.EngineOptions
		engine  *standin.Engine
	)

	BeforeEach(func() {
		clock = standin.NewManualClock(start)
		options = standin.EngineOptions{
			Name: "engine-1", Incarnation: incarnation, Fencing: upstreamapi.FencingChecked, Clock: clock,
			Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 100}},
			Resident:     []upstreamapi.Resident{{Model: "letters", Accelerators: []string{"a0"}, MemoryBytes: 40}},
			LoadDelay:    time.Second,
		}
		engine = nil
	})

	JustBeforeEach(func() {
		engine = standin.NewEngine(options)
		DeferCleanup(func() { _ = engine.Close(context.Background()) })
	})

	// passes lets the clock move by the delay of the one order under way.
	passes := func() {
		clock.AwaitWaiters(1)
		clock.Advance(time.Second)
	}

	It("carries out an order once, however often it is sent", func() {
		order := load("o1", 1, "summons", 60)
		Expect(give(engine, order).State).To(Equal(upstreamapi.OrderRunning))
		Expect(used(engine)).To(BeEquivalentTo(100))
		Expect(underWay(engine)).To(BeEquivalentTo(60))
		Expect(give(engine, order).State).To(Equal(upstreamapi.OrderRunning))
		passes()
		Eventually(state).WithArguments(engine, "o1").Should(Equal(upstreamapi.OrderDone))
		answer := give(engine, order)
		Expect(answer.State).To(Equal(upstreamapi.OrderDone))
		Expect(answer.Resident).To(HaveLen(2))
		Expect(used(engine)).To(BeEquivalentTo(100))
		Expect(underWay(engine)).To(BeZero())
		Expect(engine.Overcommits()).To(BeZero())
		Expect(give(engine, load("o2", 1, "summons", 60)).State).To(Equal(upstreamapi.OrderDone))
	})

	// A leader that was cut off long ago orders a load, after the next leader has
	// ordered. Engines that check refuse it and say which number they have seen.
	It("refuses a stale fencing number if it checks", func() {
		Expect(give(engine, unload("o0", "nothing")).State).To(Equal(upstreamapi.OrderDone))
		Expect(give(engine, load("o1", 5, "summons", 10)).State).To(Equal(upstreamapi.OrderRunning))
		answer := give(engine, load("o2", 4, "old", 10))
		Expect(answer.State).To(Equal(upstreamapi.OrderRefusedStaleFencing))
		Expect(answer.HighestFencing).To(BeEquivalentTo(5))
		Expect(give(engine, load("o1", 1, "summons", 10)).State).To(Equal(upstreamapi.OrderRunning))
	})

	Context("at an engine that ignores fencing numbers", func() {
		BeforeEach(func() { options.Fencing = upstreamapi.FencingIgnored })

		It("carries out the order of a stale leader", func() {
			Expect(give(engine, load("o1", 5, "summons", 10)).State).To(Equal(upstreamapi.OrderRunning))
			Expect(give(engine, load("o2", 4, "old", 10)).State).To(Equal(upstreamapi.OrderRunning))
			Expect(engine.Announcement().HighestFencing).To(BeEquivalentTo(5))
		})
	})

	It("refuses and counts what would overcommit", func() {
		Expect(give(engine, load("o1", 1, "summons", 61)).State).To(Equal(upstreamapi.OrderRefusedNoMemory))
		Expect(engine.Overcommits()).To(Equal(1))
		Expect(give(engine, load("o2", 1, "summons", 60)).State).To(Equal(upstreamapi.OrderRunning))
		Expect(give(engine, load("o3", 1, "pings", 1)).State).To(Equal(upstreamapi.OrderRefusedNoMemory))
		Expect(engine.Overcommits()).To(Equal(2))
		Expect(used(engine)).To(BeEquivalentTo(100))
	})

	It("counts both versions until the old one is gone", func() {
		order := load("o1", 1, "letters", 61)
		order.Kind, order.Version = upstreamapi.OrderChangeVersion, "v2"
		Expect(give(engine, order).State).To(Equal(upstreamapi.OrderRefusedNoMemory))
		order.ID, order.MemoryBytes = "o2", 50
		Expect(give(engine, order).State).To(Equal(upstreamapi.OrderRunning))
		Expect(used(engine)).To(BeEquivalentTo(90))
		passes()
		Eventually(state).WithArguments(engine, "o2").Should(Equal(upstreamapi.OrderDone))
		Expect(used(engine)).To(BeEquivalentTo(50))
		Expect(engine.Announcement().Resident).To(HaveLen(1))
		Expect(engine.Announcement().Resident[0].Version).To(Equal("v2"))
	})

	It("loads an adapter beside its model, and takes it out with its memory", func() {
		order := load("o1", 1, "letters", 10)
		order.Kind, order.Adapter = upstreamapi.OrderLoadAdapter, "clerk"
		Expect(give(engine, order).State).To(Equal(upstreamapi.OrderRunning))
		passes()
		Eventually(state).WithArguments(engine, "o1").Should(Equal(upstreamapi.OrderDone))
		Expect(engine.Announcement().Resident[0].Adapters).To(Equal([]string{"clerk"}))
		Expect(engine.Announcement().Resident[0].MemoryBytes).To(BeEquivalentTo(50))
		order.ID, order.Kind = "o2", upstreamapi.OrderUnloadAdapter
		give(engine, order)
		Eventually(state).WithArguments(engine, "o2").Should(Equal(upstreamapi.OrderDone))
		Expect(used(engine)).To(BeEquivalentTo(40))
	})

	It("counts the greater of both roles while it changes", func() {
		order := upstreamapi.Order{
			ID: "o1", Number: 1, Fencing: 1, Incarnation: incarnation,
			Kind: upstreamapi.OrderChangeRole, Role: upstreamapi.RoleDecode, MemoryBytes: 30,
		}
		give(engine, order)
		Expect(used(engine)).To(BeEquivalentTo(70))
		passes()
		Eventually(state).WithArguments(engine, "o1").Should(Equal(upstreamapi.OrderDone))
		order.ID, order.Role, order.MemoryBytes = "o2", upstreamapi.RoleMixed, 5
		give(engine, order)
		Expect(used(engine)).To(BeEquivalentTo(70))
		passes()
		Eventually(state).WithArguments(engine, "o2").Should(Equal(upstreamapi.OrderDone))
		Expect(used(engine)).To(BeEquivalentTo(45))
	})

	// The order was taken, and the connection died before the answer. The leader
	// does not know whether the model is being loaded; it asks, and only then
	// sends the order again, under the same id.
	Context("when the answer to an order is lost", func() {
		BeforeEach(func() {
			var lost atomic.Bool
			options.Faults.LoseOrderAnswer = func(upstreamapi.Order) bool {
				return lost.CompareAndSwap(false, true)
			}
		})

		It("says what became of it when it is asked, and when it is sent again", func() {
			server := httptest.NewServer(engine)
			defer server.Close()
			body, err := json.Marshal(load("o1", 1, "summons", 60))
			Expect(err).NotTo(HaveOccurred())
			_, err = http.Post(server.URL+upstreamapi.OrdersPath, "application/json", strings.NewReader(string(body)))
			Expect(err).To(HaveOccurred())
			Expect(state(engine, "o1")).To(Equal(upstreamapi.OrderRunning))
			Expect(state(engine, "o2")).To(Equal(upstreamapi.OrderUnknown))
			Expect(give(engine, load("o1", 1, "summons", 60)).State).To(Equal(upstreamapi.OrderRunning))
			Expect(used(engine)).To(BeEquivalentTo(100))
		})
	})

	It("refuses an order after its time on its own clock, and one for another incarnation", func() {
		order := load("o1", 1, "summons", 10)
		order.NotAfter = start
		clock.Advance(time.Nanosecond)
		Expect(give(engine, order).State).To(Equal(upstreamapi.OrderRefusedExpired))
		order = load("o2", 1, "summons", 10)
		order.Incarnation++
		Expect(give(engine, order).State).To(Equal(upstreamapi.OrderRefusedIncarnation))
		Expect(used(engine)).To(BeEquivalentTo(40))
	})

	It("refuses an order that is not well formed, with all findings", func() {
		w := post(engine, upstreamapi.OrdersPath, "", `{"id":"o1","kind":"explode"}`)
		Expect(w.Code).To(Equal(http.StatusUnprocessableEntity))
		var p upstreamapi.Problem
		Expect(json.Unmarshal(w.Body.Bytes(), &p)).To(Succeed())
		Expect(p.Findings).To(ContainElements(HavePrefix("$: the number"), HavePrefix("$.kind")))
	})

	Context("when it checks who orders and lacks a capability", func() {
		BeforeEach(func() {
			options.OrderToken = "secret"
			options.Capabilities = []upstreamapi.Capability{upstreamapi.CapabilityOrders}
		})

		It("refuses a wrong token, and says what it lacks", func() {
			Expect(engine.Announcement().OrderAuthorization).To(Equal(upstreamapi.AuthorizationBearer))
			Expect(post(engine, upstreamapi.OrdersPath, "", `{}`).Code).To(Equal(http.StatusUnauthorized))
			r := httptest.NewRequest(http.MethodGet, upstreamapi.OrdersPath+"/o1", nil)
			r.Header.Set("Authorization", "Bearer secret")
			w := httptest.NewRecorder()
			engine.ServeHTTP(w, r)
			Expect(w.Code).To(Equal(http.StatusNotImplemented))
		})
	})
})
