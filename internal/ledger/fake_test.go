package ledger_test

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

var start = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

const capacity = 100

// engine is a fake at the interface. It does as it is told without a look at its
// memory, so that an order too many shows as an overcommit.
type engine struct {
	fencing     upstreamapi.Fencing
	expiry      bool
	incarnation uint64
	revision    uint64
	clock       time.Time
	highest     uint64
	// models are by model@version.
	models    map[string]*model
	role      upstreamapi.Role
	roleBytes int64
	states    map[string]upstreamapi.OrderState
	// underWay are in the order of arrival.
	underWay []upstreamapi.Order
	// leaving is what unloads under way still hold, by order.
	leaving map[string]int64
}

type model struct {
	name, version string
	bytes         int64
	adapters      map[string]int64
}

func newEngine(fencing upstreamapi.Fencing, expiry bool) *engine {
	e := &engine{fencing: fencing, expiry: expiry, clock: start}
	e.restart()
	return e
}

func (e *engine) restart() {
	e.incarnation++
	e.revision, e.highest, e.roleBytes = 1, 0, 0
	e.models, e.role, e.underWay = map[string]*model{}, "", nil
	e.states, e.leaving = map[string]upstreamapi.OrderState{}, map[string]int64{}
}

func (m *model) total() int64 {
	sum := m.bytes
	for _, bytes := range m.adapters {
		sum += bytes
	}
	return sum
}

// used returns what is taken of the one accelerator.
func (e *engine) used() int64 {
	sum := e.roleBytes
	for _, m := range e.models {
		sum += m.total()
	}
	for _, order := range e.underWay {
		sum += e.held(order)
	}
	return sum
}

// held returns what an order that is under way takes beyond models and role.
func (e *engine) held(order upstreamapi.Order) int64 {
	switch order.Kind {
	case upstreamapi.OrderLoadModel, upstreamapi.OrderLoadAdapter, upstreamapi.OrderChangeVersion:
		return order.MemoryBytes
	case upstreamapi.OrderChangeRole:
		return max(order.MemoryBytes-e.roleBytes, 0)
	default:
		return e.leaving[order.ID]
	}
}

func (e *engine) take(order upstreamapi.Order) upstreamapi.OrderAnswer {
	if _, known := e.states[order.ID]; !known {
		e.revision++
		e.states[order.ID] = e.judge(order)
		e.highest = max(e.highest, order.Fencing)
		if e.states[order.ID] == upstreamapi.OrderRunning {
			e.begin(order)
		}
	}
	return e.answer(order.ID)
}

func (e *engine) judge(order upstreamapi.Order) upstreamapi.OrderState {
	at := e.models[order.Model+"@"+order.Version]
	from := e.models[order.Model+"@"+order.FromVersion]
	busy := slices.ContainsFunc(e.underWay, func(o upstreamapi.Order) bool { return o.Model == order.Model })
	switch {
	case order.Incarnation != e.incarnation:
		return upstreamapi.OrderRefusedIncarnation
	case e.fencing == upstreamapi.FencingChecked && order.Fencing < e.highest:
		return upstreamapi.OrderRefusedStaleFencing
	case e.expiry && !order.NotAfter.IsZero() && e.clock.After(order.NotAfter):
		return upstreamapi.OrderRefusedExpired
	case busy:
		return upstreamapi.OrderRefusedInvalid
	case order.Kind == upstreamapi.OrderLoadModel && at != nil, order.Kind == upstreamapi.OrderUnloadModel && at == nil:
		return upstreamapi.OrderDone
	case order.Kind == upstreamapi.OrderLoadAdapter && at == nil, order.Kind == upstreamapi.OrderUnloadAdapter && at == nil:
		return upstreamapi.OrderRefusedInvalid
	case order.Kind == upstreamapi.OrderLoadAdapter && at.adapters[order.Adapter] > 0:
		return upstreamapi.OrderDone
	case order.Kind == upstreamapi.OrderChangeVersion && (at != nil || from == nil):
		return upstreamapi.OrderRefusedInvalid
	}
	return upstreamapi.OrderRunning
}

func (e *engine) begin(order upstreamapi.Order) {
	e.underWay = append(e.underWay, order)
	key := order.Model + "@" + order.Version
	switch order.Kind {
	case upstreamapi.OrderUnloadModel:
		e.leaving[order.ID] = e.models[key].total()
		delete(e.models, key)
	case upstreamapi.OrderUnloadAdapter:
		e.leaving[order.ID] = e.models[key].adapters[order.Adapter]
		delete(e.models[key].adapters, order.Adapter)
	default:
	}
}

// finish puts the i-th order under way in force.
func (e *engine) finish(i int) {
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
		e.models[key] = &model{order.Model, order.Version, order.MemoryBytes, map[string]int64{}}
	case upstreamapi.OrderLoadAdapter:
		e.models[key].adapters[order.Adapter] = order.MemoryBytes
	case upstreamapi.OrderChangeRole:
		e.role, e.roleBytes = order.Role, order.MemoryBytes
	default:
		delete(e.leaving, order.ID)
	}
}

func (e *engine) report() upstreamapi.Announcement {
	used := e.used()
	a := upstreamapi.Announcement{
		Name: "engine-1", Incarnation: e.incarnation, Revision: e.revision, Kind: upstreamapi.KindEngine,
		Fencing:      e.fencing,
		Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: capacity, UsedBytes: &used}},
		Role:         e.role, RoleMemoryBytes: e.roleBytes, HighestFencing: e.highest,
		Load: upstreamapi.Load{Clock: e.clock},
	}
	if e.expiry {
		a.Capabilities = append(a.Capabilities, upstreamapi.CapabilityOrderExpiry)
	}
	for _, m := range e.models {
		r := upstreamapi.Resident{
			Model: m.name, Version: m.version, Accelerators: []string{"a0"}, MemoryBytes: m.total(),
		}
		for name := range m.adapters {
			r.Adapters = append(r.Adapters, name)
		}
		a.Resident = append(a.Resident, r)
	}
	for _, order := range e.underWay {
		a.UnderWay = append(a.UnderWay, upstreamapi.OrderUnderWay{
			ID: order.ID, Accelerators: []string{"a0"}, MemoryBytes: e.held(order),
		})
	}
	return a
}

func (e *engine) answer(id string) upstreamapi.OrderAnswer {
	a := e.report()
	state, known := e.states[id]
	if !known {
		state = upstreamapi.OrderUnknown
	}
	return upstreamapi.OrderAnswer{
		ID: id, State: state, Clock: e.clock, Incarnation: a.Incarnation, Revision: a.Revision,
		Accelerators: a.Accelerators, Resident: a.Resident, Role: a.Role, RoleMemoryBytes: a.RoleMemoryBytes,
		HighestFencing: a.HighestFencing, UnderWay: a.UnderWay,
	}
}
