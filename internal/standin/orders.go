package standin

import (
	"io"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// maxOrderBytes bounds the body of an order.
const maxOrderBytes = 1 << 20

// Overcommits returns how many orders would have taken more memory than there
// is. All of them were refused.
func (e *Engine) Overcommits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.overcommits
}

// order takes an order. An order whose id was taken before is answered with what
// became of it.
func (e *Engine) order(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxOrderBytes))
	if err != nil {
		return problem(c, http.StatusBadRequest, "standin: body: "+err.Error())
	}
	order, findings := upstreamapi.DecodeOrder(body)
	if findings.Len() > 0 {
		var lines []string
		for _, f := range findings.All() {
			lines = append(lines, f.String())
		}
		return problem(c, http.StatusUnprocessableEntity, lines...)
	}
	answer := e.take(order)
	e.announcer.Soon()
	if lose := e.options.Faults.LoseOrderAnswer; lose != nil && lose(order) {
		abort()
	}
	return c.JSON(orderStatusCode(answer.State), answer)
}

// orderStatus answers what became of an order.
func (e *Engine) orderStatus(c echo.Context) error {
	e.mu.Lock()
	entry := e.orders.Find(c.Param("id"))
	if entry == nil {
		entry = &orderEntry{
			order: upstreamapi.Order{ID: c.Param("id")},
			state: upstreamapi.OrderUnknown,
		}
	}
	answer := e.answerOrder(entry)
	e.mu.Unlock()
	return c.JSON(orderStatusCode(answer.State), answer)
}

// orderStatusCode returns the HTTP status that goes with a state.
func orderStatusCode(state upstreamapi.OrderState) int {
	switch state {
	case upstreamapi.OrderRunning:
		return http.StatusAccepted
	case upstreamapi.OrderDone:
		return http.StatusOK
	case upstreamapi.OrderRefusedNoMemory:
		return http.StatusInsufficientStorage
	case upstreamapi.OrderUnknown:
		return http.StatusNotFound
	case upstreamapi.OrderFailed:
		return http.StatusInternalServerError
	default:
		return http.StatusConflict
	}
}

func (e *Engine) take(order upstreamapi.Order) upstreamapi.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.orders.Find(order.ID); known != nil {
		return e.answerOrder(known)
	}
	entry := &orderEntry{order: order}
	entry.state, entry.reason = e.judge(order)
	e.orders.highestFencing = max(e.orders.highestFencing, order.Fencing)
	e.orders.revision++
	if entry.state == upstreamapi.OrderRunning {
		e.begin(entry)
	}
	e.orders.Add(entry)
	return e.answerOrder(entry)
}

// judge returns OrderRunning for an order that may begin as far as memory is not
// concerned, and otherwise why it may not.
func (e *Engine) judge(order upstreamapi.Order) (upstreamapi.OrderState, string) {
	now := e.clock.Now()
	switch {
	case order.Incarnation != e.options.Incarnation:
		return upstreamapi.OrderRefusedIncarnation, "standin: the order is meant for another incarnation"
	case e.options.Fencing == upstreamapi.FencingChecked && order.Fencing < e.orders.highestFencing:
		return upstreamapi.OrderRefusedStaleFencing, "standin: a higher fencing number was seen"
	case e.can(upstreamapi.CapabilityOrderExpiry) && !order.NotAfter.IsZero() && now.After(order.NotAfter):
		return upstreamapi.OrderRefusedExpired, "standin: the order came after its time"
	case !e.can(capabilityFor(order.Kind)):
		return upstreamapi.OrderRefusedInvalid, "standin: the engine lacks " + string(capabilityFor(order.Kind))
	case e.orders.Touches(order):
		return upstreamapi.OrderRefusedInvalid, "standin: another order for the same is under way"
	}
	return e.judgeTarget(order)
}

func capabilityFor(kind upstreamapi.OrderKind) upstreamapi.Capability {
	switch kind {
	case upstreamapi.OrderLoadAdapter, upstreamapi.OrderUnloadAdapter:
		return upstreamapi.CapabilityAdapters
	case upstreamapi.OrderChangeVersion:
		return upstreamapi.CapabilityVersions
	case upstreamapi.OrderChangeRole:
		return upstreamapi.CapabilityRoles
	default:
		return upstreamapi.CapabilityOrders
	}
}

// judgeTarget judges the order by what is loaded. An order for what is in force
// already is done.
func (e *Engine) judgeTarget(order upstreamapi.Order) (upstreamapi.OrderState, string) {
	at := e.memory.find(order.Model, order.Version)
	switch order.Kind {
	case upstreamapi.OrderLoadModel:
		if at != nil {
			return upstreamapi.OrderDone, ""
		}
	case upstreamapi.OrderUnloadModel:
		if at == nil {
			return upstreamapi.OrderDone, ""
		}
	case upstreamapi.OrderLoadAdapter:
		switch {
		case at == nil:
			return upstreamapi.OrderRefusedInvalid, "standin: the adapter's model is not loaded"
		case at.adapter(order.Adapter) >= 0:
			return upstreamapi.OrderDone, ""
		case !slices.Equal(at.accelerators, order.Accelerators):
			return upstreamapi.OrderRefusedInvalid, "standin: an adapter stands on the accelerators of its model"
		}
	case upstreamapi.OrderUnloadAdapter:
		if at == nil || at.adapter(order.Adapter) < 0 {
			return upstreamapi.OrderDone, ""
		}
	case upstreamapi.OrderChangeVersion:
		from := e.memory.find(order.Model, order.FromVersion)
		switch {
		case at != nil && from == nil:
			return upstreamapi.OrderDone, ""
		case at != nil:
			return upstreamapi.OrderRefusedInvalid, "standin: both versions are loaded"
		case from == nil:
			return upstreamapi.OrderRefusedInvalid, "standin: the version that is replaced is not loaded"
		}
	case upstreamapi.OrderChangeRole:
		if e.memory.role == order.Role && e.memory.roleBytes == order.MemoryBytes {
			return upstreamapi.OrderDone, ""
		}
	}
	return upstreamapi.OrderRunning, ""
}

// begin claims the memory that the order needs and carries it out in the
// background. If the memory is not there, the order is refused.
func (e *Engine) begin(entry *orderEntry) {
	entry.accelerators, entry.bytes = e.need(entry.order)
	if !e.memory.claim(entry.accelerators, entry.bytes) {
		entry.state, entry.reason = upstreamapi.OrderRefusedNoMemory, "standin: the memory is not there"
		entry.accelerators, entry.bytes = nil, 0
		e.orders.overcommits++
		return
	}
	leaving := ""
	switch entry.order.Kind {
	case upstreamapi.OrderUnloadModel:
		leaving = e.releaseModel(entry, entry.order.Version)
	case upstreamapi.OrderUnloadAdapter:
		leaving = e.releaseAdapter(entry)
	default:
	}
	e.background.Go(func() { e.carryOut(entry, leaving) })
}

// need returns what an order claims beyond what is claimed for what it changes.
func (e *Engine) need(order upstreamapi.Order) (accelerators []string, bytes int64) {
	switch order.Kind {
	case upstreamapi.OrderLoadModel, upstreamapi.OrderLoadAdapter, upstreamapi.OrderChangeVersion:
		return order.Accelerators, order.MemoryBytes
	case upstreamapi.OrderChangeRole:
		return e.memory.names(), max(order.MemoryBytes-e.memory.roleBytes, 0)
	default:
		return nil, 0
	}
}

// releaseModel takes the version of the model out of those that serve, and
// returns its key. The order holds its memory until it is gone.
func (e *Engine) releaseModel(entry *orderEntry, version string) string {
	at := e.memory.find(entry.order.Model, version)
	entry.accelerators, entry.bytes = at.accelerators, at.total()
	key := at.key()
	e.memory.remove(entry.order.Model, version)
	return key
}

// releaseAdapter is releaseModel for an adapter.
func (e *Engine) releaseAdapter(entry *orderEntry) string {
	at := e.memory.find(entry.order.Model, entry.order.Version)
	i := at.adapter(entry.order.Adapter)
	entry.accelerators, entry.bytes = at.accelerators, at.adapters[i].bytes
	at.adapters = slices.Delete(at.adapters, i, i+1)
	return at.adapterKey(entry.order.Adapter)
}

// carryOut loads, and then unloads what has the key leaving, as far as the order
// does either. What leaves is unloaded once the requests that use it have ended.
// If the engine is closed before, the order stays as it is.
func (e *Engine) carryOut(entry *orderEntry, leaving string) {
	if leaving == "" {
		if wait(e.ctx, e.clock, e.options.LoadDelay) != nil {
			return
		}
		leaving = e.loaded(entry)
	}
	if leaving != "" {
		if !e.awaitIdle(leaving) || wait(e.ctx, e.clock, e.options.UnloadDelay) != nil {
			return
		}
		e.unloaded(entry)
	}
	e.wakePublisher()
	e.announcer.Soon()
}

// awaitIdle returns true once no request that uses the key runs or waits, and
// false if the engine is closed before.
func (e *Engine) awaitIdle(key string) bool {
	for {
		e.mu.Lock()
		busy, idle := e.busy[key], e.idle
		e.mu.Unlock()
		if busy == 0 {
			return true
		}
		select {
		case <-idle:
		case <-e.ctx.Done():
			return false
		}
	}
}

// loaded puts in force what the order loads. It returns the key of what leaves
// for it, or an empty string if the order is done.
func (e *Engine) loaded(entry *orderEntry) (leaving string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.revision++
	order := entry.order
	switch order.Kind {
	case upstreamapi.OrderLoadModel:
		e.addResident(order)
	case upstreamapi.OrderChangeVersion:
		// What the order held belongs to the new version from here on. It holds
		// the old one's memory until that is gone.
		e.addResident(order)
		return e.releaseModel(entry, order.FromVersion)
	case upstreamapi.OrderLoadAdapter:
		at := e.memory.find(order.Model, order.Version)
		at.adapters = append(at.adapters, adapter{name: order.Adapter, bytes: order.MemoryBytes})
	case upstreamapi.OrderChangeRole:
		e.memory.free(e.memory.names(), max(e.memory.roleBytes-order.MemoryBytes, 0))
		e.memory.role, e.memory.roleBytes = order.Role, order.MemoryBytes
	case upstreamapi.OrderUnloadModel, upstreamapi.OrderUnloadAdapter:
	}
	entry.done()
	return ""
}

// unloaded gives back the memory of what left.
func (e *Engine) unloaded(entry *orderEntry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.revision++
	e.memory.free(entry.accelerators, entry.bytes)
	if entry.order.Kind != upstreamapi.OrderUnloadAdapter {
		e.cache.Drop(entry.order.Model)
	}
	entry.done()
}

func (e *Engine) addResident(order upstreamapi.Order) {
	e.memory.residents = append(e.memory.residents, resident{
		model:        order.Model,
		version:      order.Version,
		accelerators: order.Accelerators,
		bytes:        order.MemoryBytes,
	})
}

func (e *Engine) answerOrder(entry *orderEntry) upstreamapi.OrderAnswer {
	accelerators, residents := e.memory.announced()
	return upstreamapi.OrderAnswer{
		ID:              entry.order.ID,
		State:           entry.state,
		Reason:          entry.reason,
		Clock:           e.clock.Now(),
		Incarnation:     e.options.Incarnation,
		Revision:        e.orders.revision,
		Accelerators:    accelerators,
		Resident:        residents,
		Role:            e.memory.role,
		RoleMemoryBytes: e.memory.roleBytes,
		HighestFencing:  e.orders.highestFencing,
		UnderWay:        e.orders.UnderWay(),
	}
}
