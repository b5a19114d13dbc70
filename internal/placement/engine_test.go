package placement_test

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// engine is a model engine as a pure value of a test: memory, orders, no network.
type engine struct {
	name, domain string
	incarnation  uint64
	revision     uint64
	highest      uint64
	accelerators []upstreamapi.Accelerator
	capabilities []upstreamapi.Capability
	slots        int
	// loadSteps is how many steps a load of a model takes, if more than others.
	loadSteps int
	models    map[string]*held
	// running are the orders under way, and left how many steps each still takes.
	running []upstreamapi.Order
	left    map[string]int
	states  map[string]upstreamapi.OrderState
	// leaving is what an unload that is under way still holds.
	leaving map[string]*held
	alive   bool
	clock   time.Time
}

// held is a model in memory.
type held struct {
	model, version string
	accelerators   []string
	bytes          int64
	adapters       map[string]int64
}

func (h *held) total() int64 {
	total := h.bytes
	for _, bytes := range h.adapters {
		total += bytes
	}
	return total
}

func newEngine(name, domain string, memory int64, accelerators ...string) *engine {
	e := &engine{
		name: name, domain: domain, incarnation: 1, revision: 1, slots: 16 * len(accelerators), alive: true,
		models: map[string]*held{}, left: map[string]int{}, states: map[string]upstreamapi.OrderState{},
		leaving: map[string]*held{}, clock: time.Unix(0, 0),
		capabilities: []upstreamapi.Capability{upstreamapi.CapabilityOrders, upstreamapi.CapabilityAdapters, upstreamapi.CapabilityOrderStatus},
	}
	for _, a := range accelerators {
		e.accelerators = append(e.accelerators, upstreamapi.Accelerator{Name: a, MemoryBytes: memory})
	}
	return e
}

// restart loses all that was in memory, and the orders with it.
func (e *engine) restart() {
	e.incarnation++
	e.revision = 1
	e.models, e.leaving, e.left = map[string]*held{}, map[string]*held{}, map[string]int{}
	e.running = nil
	e.states = map[string]upstreamapi.OrderState{}
	e.alive = true
}

// take is the arrival of an order, or of a copy of one.
func (e *engine) take(o upstreamapi.Order) {
	if _, seen := e.states[o.ID]; seen {
		return
	}
	e.highest = max(e.highest, o.Fencing)
	e.revision++
	if o.Incarnation != e.incarnation {
		e.states[o.ID] = upstreamapi.OrderRefusedIncarnation
		return
	}
	key := o.Model + "@" + o.Version
	switch o.Kind {
	case upstreamapi.OrderUnloadModel:
		if e.models[key] == nil {
			e.states[o.ID] = upstreamapi.OrderDone
			return
		}
		e.leaving[o.ID] = e.models[key]
		delete(e.models, key)
	case upstreamapi.OrderLoadAdapter:
		if e.models[key] == nil {
			e.states[o.ID] = upstreamapi.OrderRefusedInvalid
			return
		}
	default:
	}
	e.states[o.ID] = upstreamapi.OrderRunning
	e.running = append(e.running, o)
	e.left[o.ID] = orderSteps
	if o.Kind == upstreamapi.OrderLoadModel {
		e.left[o.ID] = max(e.loadSteps, orderSteps)
	}
}

// orderSteps is how many steps an order takes.
const orderSteps = 2

// step carries the orders on.
func (e *engine) step() {
	e.clock = e.clock.Add(time.Second)
	for _, o := range slices.Clone(e.running) {
		e.left[o.ID]--
		if e.left[o.ID] > 0 {
			continue
		}
		e.running = slices.DeleteFunc(e.running, func(r upstreamapi.Order) bool { return r.ID == o.ID })
		e.revision++
		e.states[o.ID] = upstreamapi.OrderDone
		key := o.Model + "@" + o.Version
		switch o.Kind {
		case upstreamapi.OrderChangeVersion:
			delete(e.models, o.Model+"@"+o.FromVersion)
			e.models[key] = &held{o.Model, o.Version, o.Accelerators, o.MemoryBytes, map[string]int64{}}
		case upstreamapi.OrderLoadModel:
			e.models[key] = &held{o.Model, o.Version, o.Accelerators, o.MemoryBytes, map[string]int64{}}
		case upstreamapi.OrderLoadAdapter:
			if m := e.models[key]; m != nil {
				m.adapters[o.Adapter] = o.MemoryBytes
			} else {
				e.states[o.ID] = upstreamapi.OrderFailed
			}
		default:
			delete(e.leaving, o.ID)
		}
	}
}

// used returns the memory taken of an accelerator, orders under way included.
func (e *engine) used(accelerator string) int64 {
	used := int64(0)
	for _, m := range e.models {
		if slices.Contains(m.accelerators, accelerator) {
			used += m.total()
		}
	}
	for _, m := range e.leaving {
		if slices.Contains(m.accelerators, accelerator) {
			used += m.total()
		}
	}
	for _, o := range e.running {
		if slices.Contains(o.Accelerators, accelerator) {
			used += o.MemoryBytes
		}
	}
	return used
}

func (e *engine) announcement() upstreamapi.Announcement {
	a := upstreamapi.Announcement{
		Name: e.name, Incarnation: e.incarnation, Revision: e.revision, Kind: upstreamapi.KindEngine,
		FailureDomain: e.domain, Capabilities: e.capabilities, Accelerators: e.accelerators, HighestFencing: e.highest,
		Load: upstreamapi.Load{Clock: e.clock, MaxRunning: e.slots},
	}
	for _, key := range slices.Sorted(maps.Keys(e.models)) {
		m := e.models[key]
		a.Resident = append(a.Resident, upstreamapi.Resident{
			Model: m.model, Version: m.version, Accelerators: m.accelerators, MemoryBytes: m.total(),
			Adapters: slices.Sorted(maps.Keys(m.adapters)),
		})
	}
	for _, o := range e.running {
		under := upstreamapi.OrderUnderWay{ID: o.ID, Accelerators: o.Accelerators, MemoryBytes: o.MemoryBytes}
		if m := e.leaving[o.ID]; m != nil {
			under.Accelerators, under.MemoryBytes = m.accelerators, m.total()
		}
		a.UnderWay = append(a.UnderWay, under)
	}
	return a
}

func (e *engine) answer(id string) upstreamapi.OrderAnswer {
	a := e.announcement()
	state, known := e.states[id]
	if !known {
		state = upstreamapi.OrderUnknown
	}
	return upstreamapi.OrderAnswer{
		ID: id, State: state, Clock: e.clock, Incarnation: a.Incarnation, Revision: a.Revision,
		Accelerators: a.Accelerators, Resident: a.Resident, HighestFencing: a.HighestFencing, UnderWay: a.UnderWay,
	}
}
