package ledger_test

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

var startTime = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// acceleratorBytes is the memory of the fake engine's accelerator.
const acceleratorBytes = 100

// fakeEngine simulates an engine at its API. It executes orders without checking
// its memory, so that an excess order shows as an overcommit.
type fakeEngine struct {
	fencingMode    upstreamapi.Fencing
	honoursExpiry  bool
	incarnation    uint64
	revision       uint64
	clock          time.Time
	highestFencing uint64
	// models is keyed by model@version.
	models    map[string]*fakeModel
	role      upstreamapi.Role
	roleBytes int64
	states    map[string]upstreamapi.OrderState
	// underWay are the running orders in the order of their arrival.
	underWay []upstreamapi.Order
	// unloadingBytes is the memory not yet freed by running unloads, by order ID.
	unloadingBytes map[string]int64
}

type fakeModel struct {
	name, version string
	bytes         int64
	adapters      map[string]int64
}

func newEngine(fencing upstreamapi.Fencing, expiry bool) *fakeEngine {
	e := &fakeEngine{fencingMode: fencing, honoursExpiry: expiry, clock: startTime}
	e.restart()
	return e
}

func (e *fakeEngine) restart() {
	e.incarnation++
	e.revision, e.highestFencing, e.roleBytes = 1, 0, 0
	e.models, e.role, e.underWay = map[string]*fakeModel{}, "", nil
	e.states, e.unloadingBytes = map[string]upstreamapi.OrderState{}, map[string]int64{}
}

func (m *fakeModel) totalBytes() int64 {
	sum := m.bytes
	for _, bytes := range m.adapters {
		sum += bytes
	}
	return sum
}

// usedBytes returns the memory in use on the accelerator.
func (e *fakeEngine) usedBytes() int64 {
	sum := e.roleBytes
	for _, m := range e.models {
		sum += m.totalBytes()
	}
	for _, order := range e.underWay {
		sum += e.extraBytes(order)
	}
	return sum
}

// extraBytes returns the memory that a running order uses in addition to that of the
// models and the role.
func (e *fakeEngine) extraBytes(order upstreamapi.Order) int64 {
	switch order.Kind {
	case upstreamapi.OrderLoadModel, upstreamapi.OrderLoadAdapter, upstreamapi.OrderChangeVersion:
		return order.MemoryBytes
	case upstreamapi.OrderChangeRole:
		return max(order.MemoryBytes-e.roleBytes, 0)
	default:
		return e.unloadingBytes[order.ID]
	}
}

// receive starts an order unless its ID is known, and answers it.
func (e *fakeEngine) receive(order upstreamapi.Order) upstreamapi.OrderResponse {
	if _, known := e.states[order.ID]; !known {
		e.revision++
		e.states[order.ID] = e.initialState(order)
		e.highestFencing = max(e.highestFencing, order.Fencing)
		if e.states[order.ID] == upstreamapi.OrderRunning {
			e.beginOrder(order)
		}
	}
	return e.answer(order.ID)
}

// initialState returns the state of an order on arrival.
func (e *fakeEngine) initialState(order upstreamapi.Order) upstreamapi.OrderState {
	target := e.models[order.Model+"@"+order.Version]
	source := e.models[order.Model+"@"+order.FromVersion]
	modelBusy := slices.ContainsFunc(e.underWay, func(o upstreamapi.Order) bool { return o.Model == order.Model })
	switch {
	case order.Incarnation != e.incarnation:
		return upstreamapi.OrderRefusedIncarnation
	case e.fencingMode == upstreamapi.FencingChecked && order.Fencing < e.highestFencing:
		return upstreamapi.OrderRefusedStaleFencing
	case e.honoursExpiry && !order.NotAfter.IsZero() && e.clock.After(order.NotAfter):
		return upstreamapi.OrderRefusedExpired
	case modelBusy:
		return upstreamapi.OrderRefusedInvalid
	case order.Kind == upstreamapi.OrderLoadModel && target != nil, order.Kind == upstreamapi.OrderUnloadModel && target == nil:
		return upstreamapi.OrderDone
	case order.Kind == upstreamapi.OrderLoadAdapter && target == nil, order.Kind == upstreamapi.OrderUnloadAdapter && target == nil:
		return upstreamapi.OrderRefusedInvalid
	case order.Kind == upstreamapi.OrderLoadAdapter && target.adapters[order.Adapter] > 0:
		return upstreamapi.OrderDone
	case order.Kind == upstreamapi.OrderChangeVersion && (target != nil || source == nil):
		return upstreamapi.OrderRefusedInvalid
	}
	return upstreamapi.OrderRunning
}

func (e *fakeEngine) beginOrder(order upstreamapi.Order) {
	e.underWay = append(e.underWay, order)
	key := order.Model + "@" + order.Version
	switch order.Kind {
	case upstreamapi.OrderUnloadModel:
		e.unloadingBytes[order.ID] = e.models[key].totalBytes()
		delete(e.models, key)
	case upstreamapi.OrderUnloadAdapter:
		e.unloadingBytes[order.ID] = e.models[key].adapters[order.Adapter]
		delete(e.models[key].adapters, order.Adapter)
	default:
	}
}

// finishOrder completes the i-th running order.
func (e *fakeEngine) finishOrder(i int) {
	order := e.underWay[i]
	e.underWay = slices.Delete(e.underWay, i, i+1)
	e.revision++
	e.states[order.ID] = upstreamapi.OrderDone
	key := order.Model + "@" + order.Version
	switch order.Kind {
	case upstreamapi.OrderChangeVersion:
		delete(e.models, order.Model+"@"+order.FromVersion)
		fallthrough
	case upstreamapi.OrderLoadModel:
		e.models[key] = &fakeModel{order.Model, order.Version, order.MemoryBytes, map[string]int64{}}
	case upstreamapi.OrderLoadAdapter:
		e.models[key].adapters[order.Adapter] = order.MemoryBytes
	case upstreamapi.OrderChangeRole:
		e.role, e.roleBytes = order.Role, order.MemoryBytes
	default:
		delete(e.unloadingBytes, order.ID)
	}
}

func (e *fakeEngine) announce() upstreamapi.Announcement {
	used := e.usedBytes()
	a := upstreamapi.Announcement{
		Name: "engine-1", Incarnation: e.incarnation, Revision: e.revision, Kind: upstreamapi.KindEngine,
		Fencing:      e.fencingMode,
		Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: acceleratorBytes, UsedBytes: &used}},
		Role:         e.role, RoleMemoryBytes: e.roleBytes, HighestFencing: e.highestFencing,
		Load: upstreamapi.Load{Clock: e.clock},
	}
	if e.honoursExpiry {
		a.Capabilities = append(a.Capabilities, upstreamapi.CapabilityOrderExpiry)
	}
	for _, m := range e.models {
		r := upstreamapi.Resident{
			Model: m.name, Version: m.version, Accelerators: []string{"a0"}, MemoryBytes: m.totalBytes(),
		}
		for name := range m.adapters {
			r.Adapters = append(r.Adapters, name)
		}
		a.Resident = append(a.Resident, r)
	}
	for _, order := range e.underWay {
		a.UnderWay = append(a.UnderWay, upstreamapi.OrderUnderWay{
			ID: order.ID, Accelerators: []string{"a0"}, MemoryBytes: e.extraBytes(order),
		})
	}
	return a
}

func (e *fakeEngine) answer(id string) upstreamapi.OrderResponse {
	a := e.announce()
	state, known := e.states[id]
	if !known {
		state = upstreamapi.OrderUnknown
	}
	return upstreamapi.OrderResponse{
		ID: id, State: state, Clock: e.clock, Incarnation: a.Incarnation, Revision: a.Revision,
		Accelerators: a.Accelerators, Resident: a.Resident, Role: a.Role, RoleMemoryBytes: a.RoleMemoryBytes,
		HighestFencing: a.HighestFencing, UnderWay: a.UnderWay,
	}
}
