package placement_test

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// fakeEngine simulates a model engine: its memory and its orders, without a
// network.
type fakeEngine struct {
	name, domain   string
	incarnation    uint64
	revision       uint64
	highestFencing uint64
	accelerators   []upstreamapi.Accelerator
	capabilities   []upstreamapi.Capability
	slots          int
	// loadSteps is how many steps the load of a model takes, if more than
	// orderSteps.
	loadSteps int
	models    map[string]*residentModel
	// running is the orders in progress, and stepsLeft the number of steps that
	// each still takes.
	running     []upstreamapi.Order
	stepsLeft   map[string]int
	orderStates map[string]upstreamapi.OrderState
	// unloading is the models that unloads in progress still hold, by order ID.
	unloading map[string]*residentModel
	alive     bool
	clock     time.Time
}

// residentModel is a model in memory with its adapters.
type residentModel struct {
	model, version string
	accelerators   []string
	bytes          int64
	adapters       map[string]int64
}

func (m *residentModel) totalBytes() int64 {
	total := m.bytes
	for _, bytes := range m.adapters {
		total += bytes
	}
	return total
}

func newFakeEngine(name, domain string, memory int64, accelerators ...string) *fakeEngine {
	e := &fakeEngine{
		name: name, domain: domain, incarnation: 1, revision: 1, slots: 16 * len(accelerators), alive: true,
		models: map[string]*residentModel{}, stepsLeft: map[string]int{}, orderStates: map[string]upstreamapi.OrderState{},
		unloading: map[string]*residentModel{}, clock: time.Unix(0, 0),
		capabilities: []upstreamapi.Capability{upstreamapi.CapabilityOrders, upstreamapi.CapabilityAdapters, upstreamapi.CapabilityOrderStatus},
	}
	for _, a := range accelerators {
		e.accelerators = append(e.accelerators, upstreamapi.Accelerator{Name: a, MemoryBytes: memory})
	}
	return e
}

// restart clears the memory and the orders.
func (e *fakeEngine) restart() {
	e.incarnation++
	e.revision = 1
	e.models, e.unloading, e.stepsLeft = map[string]*residentModel{}, map[string]*residentModel{}, map[string]int{}
	e.running = nil
	e.orderStates = map[string]upstreamapi.OrderState{}
	e.alive = true
}

// receive handles an order. Duplicates of an order are ignored.
func (e *fakeEngine) receive(o upstreamapi.Order) {
	if _, seen := e.orderStates[o.ID]; seen {
		return
	}
	e.highestFencing = max(e.highestFencing, o.Fencing)
	e.revision++
	if o.Incarnation != e.incarnation {
		e.orderStates[o.ID] = upstreamapi.OrderRefusedIncarnation
		return
	}
	key := o.Model + "@" + o.Version
	switch o.Kind {
	case upstreamapi.OrderUnloadModel:
		if e.models[key] == nil {
			e.orderStates[o.ID] = upstreamapi.OrderDone
			return
		}
		e.unloading[o.ID] = e.models[key]
		delete(e.models, key)
	case upstreamapi.OrderLoadAdapter:
		if e.models[key] == nil {
			e.orderStates[o.ID] = upstreamapi.OrderRefusedInvalid
			return
		}
	default:
	}
	e.orderStates[o.ID] = upstreamapi.OrderRunning
	e.running = append(e.running, o)
	e.stepsLeft[o.ID] = orderSteps
	if o.Kind == upstreamapi.OrderLoadModel {
		e.stepsLeft[o.ID] = max(e.loadSteps, orderSteps)
	}
}

// orderSteps is how many steps an order takes.
const orderSteps = 2

// step advances the orders in progress by one second.
func (e *fakeEngine) step() {
	e.clock = e.clock.Add(time.Second)
	for _, o := range slices.Clone(e.running) {
		e.stepsLeft[o.ID]--
		if e.stepsLeft[o.ID] > 0 {
			continue
		}
		e.running = slices.DeleteFunc(e.running, func(r upstreamapi.Order) bool { return r.ID == o.ID })
		e.revision++
		e.orderStates[o.ID] = upstreamapi.OrderDone
		key := o.Model + "@" + o.Version
		switch o.Kind {
		case upstreamapi.OrderChangeVersion:
			delete(e.models, o.Model+"@"+o.FromVersion)
			e.models[key] = &residentModel{o.Model, o.Version, o.Accelerators, o.MemoryBytes, map[string]int64{}}
		case upstreamapi.OrderLoadModel:
			e.models[key] = &residentModel{o.Model, o.Version, o.Accelerators, o.MemoryBytes, map[string]int64{}}
		case upstreamapi.OrderLoadAdapter:
			if m := e.models[key]; m != nil {
				m.adapters[o.Adapter] = o.MemoryBytes
			} else {
				e.orderStates[o.ID] = upstreamapi.OrderFailed
			}
		default:
			delete(e.unloading, o.ID)
		}
	}
}

// usedBytes returns how much memory of the accelerator is taken, including
// orders in progress.
func (e *fakeEngine) usedBytes(accelerator string) int64 {
	used := int64(0)
	for _, m := range e.models {
		if slices.Contains(m.accelerators, accelerator) {
			used += m.totalBytes()
		}
	}
	for _, m := range e.unloading {
		if slices.Contains(m.accelerators, accelerator) {
			used += m.totalBytes()
		}
	}
	for _, o := range e.running {
		if slices.Contains(o.Accelerators, accelerator) {
			used += o.MemoryBytes
		}
	}
	return used
}

func (e *fakeEngine) announcement() upstreamapi.Announcement {
	a := upstreamapi.Announcement{
		Name: e.name, Incarnation: e.incarnation, Revision: e.revision, Kind: upstreamapi.KindEngine,
		FailureDomain: e.domain, Capabilities: e.capabilities, Accelerators: e.accelerators, HighestFencing: e.highestFencing,
		Load: upstreamapi.Load{Clock: e.clock, MaxRunning: e.slots},
	}
	for _, key := range slices.Sorted(maps.Keys(e.models)) {
		m := e.models[key]
		a.Resident = append(a.Resident, upstreamapi.Resident{
			Model: m.model, Version: m.version, Accelerators: m.accelerators, MemoryBytes: m.totalBytes(),
			Adapters: slices.Sorted(maps.Keys(m.adapters)),
		})
	}
	for _, o := range e.running {
		underWay := upstreamapi.OrderUnderWay{ID: o.ID, Accelerators: o.Accelerators, MemoryBytes: o.MemoryBytes}
		if m := e.unloading[o.ID]; m != nil {
			underWay.Accelerators, underWay.MemoryBytes = m.accelerators, m.totalBytes()
		}
		a.UnderWay = append(a.UnderWay, underWay)
	}
	return a
}

func (e *fakeEngine) orderAnswer(id string) upstreamapi.OrderResponse {
	a := e.announcement()
	state, known := e.orderStates[id]
	if !known {
		state = upstreamapi.OrderUnknown
	}
	return upstreamapi.OrderResponse{
		ID: id, State: state, Clock: e.clock, Incarnation: a.Incarnation, Revision: a.Revision,
		Accelerators: a.Accelerators, Resident: a.Resident, HighestFencing: a.HighestFencing, UnderWay: a.UnderWay,
	}
}
