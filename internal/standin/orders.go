package standin

import (
	"io"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// maxOrderBytes limits the body of an order.
const maxOrderBytes = 1 << 20

// Overcommits returns the number of orders that needed more memory than was
// free. All of them were rejected.
func (e *Engine) Overcommits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.overcommits
}

// handleOrder handles a POST of an order. The response to a repeated id is the
// current state of that order.
func (e *Engine) handleOrder(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxOrderBytes))
	if err != nil {
		return respondProblem(c, http.StatusBadRequest, "standin: body: "+err.Error())
	}
	order, findings := upstreamapi.DecodeOrder(body)
	if findings.Len() > 0 {
		var lines []string
		for _, f := range findings.All() {
			lines = append(lines, f.String())
		}
		return respondProblem(c, http.StatusUnprocessableEntity, lines...)
	}
	response := e.acceptOrder(order)
	e.announcer.Trigger()
	if loseResponse := e.options.Faults.LoseOrderAnswer; loseResponse != nil && loseResponse(order) {
		abortConnection()
	}
	return c.JSON(orderStatusCode(response.State), response)
}

// orderStatus handles a status query for an order.
func (e *Engine) orderStatus(c echo.Context) error {
	e.mu.Lock()
	entry := e.orders.Find(c.Param("id"))
	if entry == nil {
		entry = &orderEntry{
			order: upstreamapi.Order{ID: c.Param("id")},
			state: upstreamapi.OrderUnknown,
		}
	}
	response := e.orderResponse(entry)
	e.mu.Unlock()
	return c.JSON(orderStatusCode(response.State), response)
}

// orderStatusCode returns the HTTP status code for a state.
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

func (e *Engine) acceptOrder(order upstreamapi.Order) upstreamapi.OrderResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.orders.Find(order.ID); known != nil {
		return e.orderResponse(known)
	}
	entry := &orderEntry{order: order}
	entry.state, entry.reason = e.checkOrder(order)
	e.orders.highestFencing = max(e.orders.highestFencing, order.Fencing)
	e.orders.revision++
	if entry.state == upstreamapi.OrderRunning {
		e.startOrder(entry)
	}
	e.orders.Add(entry)
	return e.orderResponse(entry)
}

// checkOrder returns OrderRunning if the order may start, provided there is
// enough memory. Otherwise it returns the final state and a reason.
func (e *Engine) checkOrder(order upstreamapi.Order) (upstreamapi.OrderState, string) {
	now := e.clock.Now()
	switch {
	case order.Incarnation != e.options.Incarnation:
		return upstreamapi.OrderRefusedIncarnation, "standin: the order is meant for another incarnation"
	case e.options.Fencing == upstreamapi.FencingChecked && order.Fencing < e.orders.highestFencing:
		return upstreamapi.OrderRefusedStaleFencing, "standin: a higher fencing number was seen"
	case e.supports(upstreamapi.CapabilityOrderExpiry) && !order.NotAfter.IsZero() && now.After(order.NotAfter):
		return upstreamapi.OrderRefusedExpired, "standin: the order came after its time"
	case !e.supports(capabilityFor(order.Kind)):
		return upstreamapi.OrderRefusedInvalid, "standin: the engine lacks " + string(capabilityFor(order.Kind))
	case e.orders.Conflicts(order):
		return upstreamapi.OrderRefusedInvalid, "standin: another order for the same is under way"
	}
	return e.checkTarget(order)
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

// checkTarget checks the order against the loaded models. An order whose result
// is already in effect is done.
func (e *Engine) checkTarget(order upstreamapi.Order) (upstreamapi.OrderState, string) {
	target := e.memory.findResident(order.Model, order.Version)
	switch order.Kind {
	case upstreamapi.OrderLoadModel:
		if target != nil {
			return upstreamapi.OrderDone, ""
		}
	case upstreamapi.OrderUnloadModel:
		if target == nil {
			return upstreamapi.OrderDone, ""
		}
	case upstreamapi.OrderLoadAdapter:
		switch {
		case target == nil:
			return upstreamapi.OrderRefusedInvalid, "standin: the adapter's model is not loaded"
		case target.adapterIndex(order.Adapter) >= 0:
			return upstreamapi.OrderDone, ""
		case !slices.Equal(target.accelerators, order.Accelerators):
			return upstreamapi.OrderRefusedInvalid, "standin: an adapter stands on the accelerators of its model"
		}
	case upstreamapi.OrderUnloadAdapter:
		if target == nil || target.adapterIndex(order.Adapter) < 0 {
			return upstreamapi.OrderDone, ""
		}
	case upstreamapi.OrderChangeVersion:
		replaced := e.memory.findResident(order.Model, order.FromVersion)
		switch {
		case target != nil && replaced == nil:
			return upstreamapi.OrderDone, ""
		case target != nil:
			return upstreamapi.OrderRefusedInvalid, "standin: both versions are loaded"
		case replaced == nil:
			return upstreamapi.OrderRefusedInvalid, "standin: the version that is replaced is not loaded"
		}
	case upstreamapi.OrderChangeRole:
		if e.memory.role == order.Role && e.memory.roleBytes == order.MemoryBytes {
			return upstreamapi.OrderDone, ""
		}
	}
	return upstreamapi.OrderRunning, ""
}

// startOrder reserves the memory for the order and executes it in the
// background. If there is not enough memory, the order is rejected.
func (e *Engine) startOrder(entry *orderEntry) {
	entry.reservedAccelerators, entry.reservedBytes = e.requiredMemory(entry.order)
	if !e.memory.reserve(entry.reservedAccelerators, entry.reservedBytes) {
		entry.state, entry.reason = upstreamapi.OrderRefusedNoMemory, "standin: the memory is not there"
		entry.reservedAccelerators, entry.reservedBytes = nil, 0
		e.orders.overcommits++
		return
	}
	unloadKey := ""
	switch entry.order.Kind {
	case upstreamapi.OrderUnloadModel:
		unloadKey = e.withdrawModel(entry, entry.order.Version)
	case upstreamapi.OrderUnloadAdapter:
		unloadKey = e.withdrawAdapter(entry)
	default:
	}
	e.background.Go(func() { e.executeOrder(entry, unloadKey) })
}

// requiredMemory returns the memory that an order needs in addition to what is
// already allocated.
func (e *Engine) requiredMemory(order upstreamapi.Order) (accelerators []string, bytes int64) {
	switch order.Kind {
	case upstreamapi.OrderLoadModel, upstreamapi.OrderLoadAdapter, upstreamapi.OrderChangeVersion:
		return order.Accelerators, order.MemoryBytes
	case upstreamapi.OrderChangeRole:
		return e.memory.acceleratorNames(), max(order.MemoryBytes-e.memory.roleBytes, 0)
	default:
		return nil, 0
	}
}

// withdrawModel stops routing requests to the version of the model and returns
// its key. The order owns its memory until the unload ends.
func (e *Engine) withdrawModel(entry *orderEntry, version string) string {
	model := e.memory.findResident(entry.order.Model, version)
	entry.reservedAccelerators, entry.reservedBytes = model.accelerators, model.totalBytes()
	key := model.key()
	e.memory.removeResident(entry.order.Model, version)
	return key
}

// withdrawAdapter is withdrawModel for an adapter.
func (e *Engine) withdrawAdapter(entry *orderEntry) string {
	model := e.memory.findResident(entry.order.Model, entry.order.Version)
	i := model.adapterIndex(entry.order.Adapter)
	entry.reservedAccelerators, entry.reservedBytes = model.accelerators, model.adapters[i].bytes
	model.adapters = slices.Delete(model.adapters, i, i+1)
	return model.adapterKey(entry.order.Adapter)
}

// executeOrder performs the load of an order, if it has one, and then the
// unload of the model or adapter with unloadKey, if there is one. The unload
// waits until the requests that use the model or adapter have ended. If the
// engine is closed before, the order stays in progress.
func (e *Engine) executeOrder(entry *orderEntry, unloadKey string) {
	if unloadKey == "" {
		if wait(e.backgroundCtx, e.clock, e.options.LoadDelay) != nil {
			return
		}
		unloadKey = e.applyLoad(entry)
	}
	if unloadKey != "" {
		if !e.awaitUnused(unloadKey) || wait(e.backgroundCtx, e.clock, e.options.UnloadDelay) != nil {
			return
		}
		e.finishUnload(entry)
	}
	e.wakePublisher()
	e.announcer.Trigger()
}

// awaitUnused returns true once no running or waiting request uses key, and
// false if the engine is closed before.
func (e *Engine) awaitUnused(key string) bool {
	for {
		e.mu.Lock()
		active, ended := e.activeRequests[key], e.requestEnded
		e.mu.Unlock()
		if active == 0 {
			return true
		}
		select {
		case <-ended:
		case <-e.backgroundCtx.Done():
			return false
		}
	}
}

// applyLoad makes the result of a load available. It returns the key of the
// model that the order replaces, or an empty string if the order is done.
func (e *Engine) applyLoad(entry *orderEntry) (unloadKey string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.revision++
	order := entry.order
	switch order.Kind {
	case upstreamapi.OrderLoadModel:
		e.addResident(order)
	case upstreamapi.OrderChangeVersion:
		// The memory reserved by the order now belongs to the new version. The
		// order owns the memory of the old version until it is unloaded.
		e.addResident(order)
		return e.withdrawModel(entry, order.FromVersion)
	case upstreamapi.OrderLoadAdapter:
		model := e.memory.findResident(order.Model, order.Version)
		model.adapters = append(model.adapters, adapter{name: order.Adapter, bytes: order.MemoryBytes})
	case upstreamapi.OrderChangeRole:
		e.memory.release(e.memory.acceleratorNames(), max(e.memory.roleBytes-order.MemoryBytes, 0))
		e.memory.role, e.memory.roleBytes = order.Role, order.MemoryBytes
	case upstreamapi.OrderUnloadModel, upstreamapi.OrderUnloadAdapter:
	}
	entry.complete()
	return ""
}

// finishUnload frees the memory of the unloaded model or adapter.
func (e *Engine) finishUnload(entry *orderEntry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.revision++
	e.memory.release(entry.reservedAccelerators, entry.reservedBytes)
	if entry.order.Kind != upstreamapi.OrderUnloadAdapter {
		e.cache.EvictModel(entry.order.Model)
	}
	entry.complete()
}

func (e *Engine) addResident(order upstreamapi.Order) {
	e.memory.residents = append(e.memory.residents, resident{
		model:        order.Model,
		version:      order.Version,
		accelerators: order.Accelerators,
		bytes:        order.MemoryBytes,
	})
}

func (e *Engine) orderResponse(entry *orderEntry) upstreamapi.OrderResponse {
	accelerators, residents := e.memory.inventory()
	return upstreamapi.OrderResponse{
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
