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

func loadOrder(id string, fencing uint64, model string, bytes int64) upstreamapi.Order {
	return upstreamapi.Order{
		ID: id, Number: 1, Fencing: fencing, Incarnation: incarnation, Kind: upstreamapi.OrderLoadModel,
		Model: model, Accelerators: []string{"a0"}, MemoryBytes: bytes,
	}
}

func unloadOrder(id, model string) upstreamapi.Order {
	return upstreamapi.Order{
		ID: id, Number: 2, Fencing: 1, Incarnation: incarnation, Kind: upstreamapi.OrderUnloadModel, Model: model,
	}
}

func sendOrder(handler http.Handler, order upstreamapi.Order) upstreamapi.OrderResponse {
	body, err := json.Marshal(order)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	var response upstreamapi.OrderResponse
	w := post(handler, upstreamapi.OrdersPath, "", string(body))
	ExpectWithOffset(1, json.Unmarshal(w.Body.Bytes(), &response)).To(Succeed(), w.Body.String())
	return response
}

func get(handler http.Handler, path string, response any) int {
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	ExpectWithOffset(1, json.Unmarshal(w.Body.Bytes(), response)).To(Succeed(), w.Body.String())
	return w.Code
}

// orderState queries the state of an order.
func orderState(handler http.Handler, id string) upstreamapi.OrderState {
	var response upstreamapi.OrderResponse
	get(handler, upstreamapi.OrdersPath+"/"+id, &response)
	return response.State
}

func usedBytes(engine *standin.Engine) int64 {
	return *engine.Announcement().Accelerators[0].UsedBytes
}

func bytesInProgress(engine *standin.Engine) int64 {
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

	// finishOrder advances the clock by the delay of the only order in progress.
	finishOrder := func() {
		clock.AwaitTimers(1)
		clock.Advance(time.Second)
	}

	It("carries out an order once, however often it is sent", func() {
		order := loadOrder("o1", 1, "summons", 60)
		Expect(sendOrder(engine, order).State).To(Equal(upstreamapi.OrderRunning))
		Expect(usedBytes(engine)).To(BeEquivalentTo(100))
		Expect(bytesInProgress(engine)).To(BeEquivalentTo(60))
		Expect(sendOrder(engine, order).State).To(Equal(upstreamapi.OrderRunning))
		finishOrder()
		Eventually(orderState).WithArguments(engine, "o1").Should(Equal(upstreamapi.OrderDone))
		response := sendOrder(engine, order)
		Expect(response.State).To(Equal(upstreamapi.OrderDone))
		Expect(response.Resident).To(HaveLen(2))
		Expect(usedBytes(engine)).To(BeEquivalentTo(100))
		Expect(bytesInProgress(engine)).To(BeZero())
		Expect(engine.Overcommits()).To(BeZero())
		Expect(sendOrder(engine, loadOrder("o2", 1, "summons", 60)).State).To(Equal(upstreamapi.OrderDone))
	})

	// A leader that was partitioned sends a load after its successor has sent
	// orders. An engine that checks fencing numbers rejects it and reports the
	// highest number it has received.
	It("refuses a stale fencing number if it checks", func() {
		Expect(sendOrder(engine, unloadOrder("o0", "nothing")).State).To(Equal(upstreamapi.OrderDone))
		Expect(sendOrder(engine, loadOrder("o1", 5, "summons", 10)).State).To(Equal(upstreamapi.OrderRunning))
		response := sendOrder(engine, loadOrder("o2", 4, "old", 10))
		Expect(response.State).To(Equal(upstreamapi.OrderRefusedStaleFencing))
		Expect(response.HighestFencing).To(BeEquivalentTo(5))
		Expect(sendOrder(engine, loadOrder("o1", 1, "summons", 10)).State).To(Equal(upstreamapi.OrderRunning))
	})

	Context("at an engine that ignores fencing numbers", func() {
		BeforeEach(func() { options.Fencing = upstreamapi.FencingIgnored })

		It("carries out the order of a stale leader", func() {
			Expect(sendOrder(engine, loadOrder("o1", 5, "summons", 10)).State).To(Equal(upstreamapi.OrderRunning))
			Expect(sendOrder(engine, loadOrder("o2", 4, "old", 10)).State).To(Equal(upstreamapi.OrderRunning))
			Expect(engine.Announcement().HighestFencing).To(BeEquivalentTo(5))
		})
	})

	It("rejects and counts orders that would overcommit memory", func() {
		Expect(sendOrder(engine, loadOrder("o1", 1, "summons", 61)).State).To(Equal(upstreamapi.OrderRefusedNoMemory))
		Expect(engine.Overcommits()).To(Equal(1))
		Expect(sendOrder(engine, loadOrder("o2", 1, "summons", 60)).State).To(Equal(upstreamapi.OrderRunning))
		Expect(sendOrder(engine, loadOrder("o3", 1, "pings", 1)).State).To(Equal(upstreamapi.OrderRefusedNoMemory))
		Expect(engine.Overcommits()).To(Equal(2))
		Expect(usedBytes(engine)).To(BeEquivalentTo(100))
	})

	It("counts the memory of both versions until the old one is unloaded", func() {
		order := loadOrder("o1", 1, "letters", 61)
		order.Kind, order.Version = upstreamapi.OrderChangeVersion, "v2"
		Expect(sendOrder(engine, order).State).To(Equal(upstreamapi.OrderRefusedNoMemory))
		order.ID, order.MemoryBytes = "o2", 50
		Expect(sendOrder(engine, order).State).To(Equal(upstreamapi.OrderRunning))
		Expect(usedBytes(engine)).To(BeEquivalentTo(90))
		finishOrder()
		Eventually(orderState).WithArguments(engine, "o2").Should(Equal(upstreamapi.OrderDone))
		Expect(usedBytes(engine)).To(BeEquivalentTo(50))
		Expect(engine.Announcement().Resident).To(HaveLen(1))
		Expect(engine.Announcement().Resident[0].Version).To(Equal("v2"))
	})

	It("loads an adapter for its model, and unloads it and frees its memory", func() {
		order := loadOrder("o1", 1, "letters", 10)
		order.Kind, order.Adapter = upstreamapi.OrderLoadAdapter, "clerk"
		Expect(sendOrder(engine, order).State).To(Equal(upstreamapi.OrderRunning))
		finishOrder()
		Eventually(orderState).WithArguments(engine, "o1").Should(Equal(upstreamapi.OrderDone))
		Expect(engine.Announcement().Resident[0].Adapters).To(Equal([]string{"clerk"}))
		Expect(engine.Announcement().Resident[0].MemoryBytes).To(BeEquivalentTo(50))
		order.ID, order.Kind = "o2", upstreamapi.OrderUnloadAdapter
		sendOrder(engine, order)
		Eventually(orderState).WithArguments(engine, "o2").Should(Equal(upstreamapi.OrderDone))
		Expect(usedBytes(engine)).To(BeEquivalentTo(40))
	})

	It("counts the larger memory of both roles during a change", func() {
		order := upstreamapi.Order{
			ID: "o1", Number: 1, Fencing: 1, Incarnation: incarnation,
			Kind: upstreamapi.OrderChangeRole, Role: upstreamapi.RoleDecode, MemoryBytes: 30,
		}
		sendOrder(engine, order)
		Expect(usedBytes(engine)).To(BeEquivalentTo(70))
		finishOrder()
		Eventually(orderState).WithArguments(engine, "o1").Should(Equal(upstreamapi.OrderDone))
		order.ID, order.Role, order.MemoryBytes = "o2", upstreamapi.RoleMixed, 5
		sendOrder(engine, order)
		Expect(usedBytes(engine)).To(BeEquivalentTo(70))
		finishOrder()
		Eventually(orderState).WithArguments(engine, "o2").Should(Equal(upstreamapi.OrderDone))
		Expect(usedBytes(engine)).To(BeEquivalentTo(45))
	})

	// The engine accepts an order and the connection breaks before the
	// response. The leader does not know whether the model is loading, so it
	// queries the status before it sends the order again with the same id.
	Context("when the answer to an order is lost", func() {
		BeforeEach(func() {
			var answerLost atomic.Bool
			options.Faults.LoseOrderAnswer = func(upstreamapi.Order) bool {
				return answerLost.CompareAndSwap(false, true)
			}
		})

		It("says what became of it when it is asked, and when it is sent again", func() {
			server := httptest.NewServer(engine)
			defer server.Close()
			body, err := json.Marshal(loadOrder("o1", 1, "summons", 60))
			Expect(err).NotTo(HaveOccurred())
			_, err = http.Post(server.URL+upstreamapi.OrdersPath, "application/json", strings.NewReader(string(body)))
			Expect(err).To(HaveOccurred())
			Expect(orderState(engine, "o1")).To(Equal(upstreamapi.OrderRunning))
			Expect(orderState(engine, "o2")).To(Equal(upstreamapi.OrderUnknown))
			Expect(sendOrder(engine, loadOrder("o1", 1, "summons", 60)).State).To(Equal(upstreamapi.OrderRunning))
			Expect(usedBytes(engine)).To(BeEquivalentTo(100))
		})
	})

	It("refuses an order after its time on its own clock, and one for another incarnation", func() {
		order := loadOrder("o1", 1, "summons", 10)
		order.NotAfter = start
		clock.Advance(time.Nanosecond)
		Expect(sendOrder(engine, order).State).To(Equal(upstreamapi.OrderRefusedExpired))
		order = loadOrder("o2", 1, "summons", 10)
		order.Incarnation++
		Expect(sendOrder(engine, order).State).To(Equal(upstreamapi.OrderRefusedIncarnation))
		Expect(usedBytes(engine)).To(BeEquivalentTo(40))
	})

	It("rejects an invalid order with all findings", func() {
		w := post(engine, upstreamapi.OrdersPath, "", `{"id":"o1","kind":"explode"}`)
		Expect(w.Code).To(Equal(http.StatusUnprocessableEntity))
		var p upstreamapi.Problem
		Expect(json.Unmarshal(w.Body.Bytes(), &p)).To(Succeed())
		Expect(p.Findings).To(ContainElements(HavePrefix("$: the number"), HavePrefix("$.kind")))
	})

	Context("when it requires an order token and lacks a capability", func() {
		BeforeEach(func() {
			options.OrderToken = "secret"
			options.Capabilities = []upstreamapi.Capability{upstreamapi.CapabilityOrders}
		})

		It("rejects a missing token, and reports a missing capability", func() {
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
