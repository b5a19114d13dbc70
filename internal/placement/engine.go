package placement

import (
	"slices"

	"github.com/lovagelift/lovagelift/internal/ledger"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Status is whether an engine serves requests.
type Status int

// Statuses of engines.
const (
	// Serving means that the announcement lease is valid.
	Serving Status = iota
	// Stopping means that the engine has announced its shutdown. Its copies
	// will be gone with it.
	Stopping
	// Lost means that the announcement lease has expired.
	Lost
)

// DefaultSlots is how many requests one accelerator runs concurrently if its
// engine does not announce a limit.
const DefaultSlots = 16

// Engine is the state of one engine in the input of a plan. It is immutable.
// NewEngine is costly, so keep the value until the announcement or the ledger
// changes.
type Engine struct {
	name          string
	failureDomain string
	status        Status
	// acceptsOrders means that the engine is serving, supports orders and is
	// consistent.
	acceptsOrders bool
	// consistent means that the engine has reported, and that its reports do
	// not contradict its ledger. The copies on an inconsistent engine may serve
	// requests, but the planner does not rely on them when it removes other
	// copies.
	consistent bool
	// supportsOrders means that the engine announces that it takes orders.
	supportsOrders bool
	// supportsAdapters and supportsVersionChanges mean the same for orders that
	// load adapters and that change versions.
	supportsAdapters, supportsVersionChanges bool
	// slots is how many requests the engine runs concurrently.
	slots        float64
	accelerators []acceleratorMemory
	copies       []modelCopy
	// openLoads is how many open orders load something.
	openLoads int
}

// acceleratorMemory is the memory of one accelerator, in bytes.
type acceleratorMemory struct {
	name  string
	total int64
	// free is how much a new order may take now, according to the ledger.
	free int64
	// laterFree is free plus the memory that open orders will release.
	laterFree int64
}

// modelCopy is a copy of one version of a model on an engine.
type modelCopy struct {
	model, version string
	accelerators   []string
	// bytes is the memory taken on each of accelerators.
	bytes int64
	phase Phase
	// changingVersion means that an open order replaces the version. Either the
	// old or the new version serves at any time.
	changingVersion bool
	adapters        []adapterCopy
}

// adapterCopy is an adapter that is loaded beside a copy of its model.
type adapterCopy struct {
	name  string
	phase Phase
	bytes int64
}

// NewEngine returns the state of the engine with this announcement and ledger.
func NewEngine(a upstreamapi.Announcement, l ledger.Ledger, status Status) Engine {
	e := Engine{
		name:                   a.Name,
		failureDomain:          a.FailureDomain,
		status:                 status,
		consistent:             len(l.Contradictions()) == 0 && l.Incarnation() != 0,
		supportsOrders:         a.Has(upstreamapi.CapabilityOrders),
		supportsAdapters:       a.Has(upstreamapi.CapabilityAdapters),
		supportsVersionChanges: a.Has(upstreamapi.CapabilityVersions),
		slots:                  float64(a.Load.MaxRunning),
	}
	e.acceptsOrders = e.consistent && e.supportsOrders && status == Serving
	for _, name := range l.Accelerators() {
		account, _ := l.Account(name)
		free := max(account.Free(), 0)
		e.accelerators = append(e.accelerators, acceleratorMemory{name: name, total: account.Memory, free: free, laterFree: free})
	}
	if e.slots == 0 {
		e.slots = float64(DefaultSlots * len(e.accelerators))
	}
	e.readCopies(a, l)
	e.readLoads(l)
	return e
}

// WithStatus returns a copy of the engine with another status.
func (e Engine) WithStatus(status Status) Engine {
	e.status = status
	e.acceptsOrders = e.consistent && e.supportsOrders && status == Serving
	return e
}

// Name returns the engine's name.
func (e Engine) Name() string { return e.name }

// readCopies reads what the engine holds: from its ledger, or from its
// announcement as PhaseUnverified if the engine is not consistent.
func (e *Engine) readCopies(a upstreamapi.Announcement, l ledger.Ledger) {
	if !e.consistent {
		for _, r := range a.Resident {
			c := modelCopy{model: r.Model, version: r.Version, accelerators: r.Accelerators, bytes: r.MemoryBytes, phase: PhaseUnverified}
			for _, name := range r.Adapters {
				c.adapters = append(c.adapters, adapterCopy{name: name, phase: PhaseUnverified})
			}
			e.copies = append(e.copies, c)
		}
		return
	}
	open := l.Open()
	holdings := l.Holdings()
	for _, h := range holdings {
		if h.Adapter == "" {
			e.copies = append(e.copies, e.heldCopy(h, open, l))
		}
	}
	for _, h := range holdings {
		c := e.findCopy(h.Model, h.Version)
		if h.Adapter == "" || c == nil {
			continue
		}
		phase := PhaseReady
		if order := removingOrder(h, open); order != nil {
			phase = PhaseUnloading
			e.addLaterFree(h, l.Doubtful(order.ID))
		}
		c.adapters = append(c.adapters, adapterCopy{name: h.Adapter, phase: phase, bytes: h.Bytes})
	}
}

// heldCopy returns the copy for a holding of a model. Open orders that may
// remove the holding determine its phase.
func (e *Engine) heldCopy(h ledger.Holding, open []upstreamapi.Order, l ledger.Ledger) modelCopy {
	c := modelCopy{model: h.Model, version: h.Version, accelerators: h.Accelerators, bytes: h.Bytes, phase: PhaseReady}
	order := removingOrder(h, open)
	if order == nil {
		return c
	}
	e.addLaterFree(h, l.Doubtful(order.ID))
	if order.Kind == upstreamapi.OrderChangeVersion {
		c.changingVersion = true
	} else {
		c.phase = PhaseUnloading
	}
	return c
}

// removingOrder returns the first open order that may remove the holding, or
// nil. It includes unloads that may never take effect, so that the planner does
// not rely on the copy as the last one.
func removingOrder(h ledger.Holding, open []upstreamapi.Order) *upstreamapi.Order {
	i := slices.IndexFunc(open, h.RemovedBy)
	if i < 0 {
		return nil
	}
	return &open[i]
}

// addLaterFree adds the memory that an open order will release. It ignores
// orders whose answer was lost: they may never take effect, so no move may wait
// for them.
func (e *Engine) addLaterFree(h ledger.Holding, doubtful bool) {
	if doubtful {
		return
	}
	for i := range e.accelerators {
		if slices.Contains(h.Accelerators, e.accelerators[i].name) {
			e.accelerators[i].laterFree += h.Bytes
		}
	}
}

// readLoads adds the copies and adapters that open orders load.
func (e *Engine) readLoads(l ledger.Ledger) {
	for _, order := range l.Open() {
		h, loads := ledger.LoadedBy(order)
		if !loads {
			continue
		}
		e.openLoads++
		phase := PhaseLoading
		if l.Doubtful(order.ID) {
			phase = PhaseDoubtful
		}
		c := e.findCopy(h.Model, h.Version)
		switch {
		case h.Adapter == "" && c == nil:
			e.copies = append(e.copies, modelCopy{
				model: h.Model, version: h.Version, accelerators: h.Accelerators, bytes: h.Bytes, phase: phase,
			})
		case h.Adapter != "" && c != nil && c.findAdapter(h.Adapter) == nil:
			c.adapters = append(c.adapters, adapterCopy{name: h.Adapter, phase: phase, bytes: h.Bytes})
		}
	}
}

func (e *Engine) findCopy(model, version string) *modelCopy {
	i := slices.IndexFunc(e.copies, func(c modelCopy) bool { return c.model == model && c.version == version })
	if i < 0 {
		return nil
	}
	return &e.copies[i]
}

func (c *modelCopy) findAdapter(name string) *adapterCopy {
	i := slices.IndexFunc(c.adapters, func(a adapterCopy) bool { return a.name == name })
	if i < 0 {
		return nil
	}
	return &c.adapters[i]
}
