package placement

import (
	"slices"

	"github.com/lovagelift/lovagelift/internal/ledger"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Standing says whether an engine serves requests.
type Standing int

// The standings.
const (
	// Serving means that its announcement lease holds.
	Serving Standing = iota
	// Leaving means that it has announced its stop: what it holds goes with it.
	Leaving
	// Lost means that its lease has run out.
	Lost
)

// DefaultSlots is how many requests one accelerator runs at once, if its engine
// does not say.
const DefaultSlots = 16

// Engine is what a plan knows of one engine. It is an immutable value and is
// costly to make, so keep it until the announcement or the ledger changes.
type Engine struct {
	name          string
	failureDomain string
	standing      Standing
	// ordered means that it takes orders, and that its reports do not contradict
	// its ledger.
	ordered bool
	// proved means that its reports do not contradict its ledger. What it holds
	// otherwise serves as long as it does, but proves nothing.
	proved bool
	// takesOrders means that it has announced that it takes any.
	takesOrders bool
	// adapters and versions are whether it takes orders for them.
	adapters, versions bool
	// slots is how many requests it runs at once.
	slots        float64
	accelerators []room
	copies       []copied
	// loading is how many open orders load something.
	loading int
}

// room is the memory of one accelerator.
type room struct {
	name   string
	memory int64
	// free is what the ledger lets an order take now.
	free int64
	// later is free, with what open unloads will give back.
	later int64
}

// copied is one copy of a version of a model.
type copied struct {
	model, version string
	accelerators   []string
	bytes          int64
	phase          Phase
	// versionChanging means that an open order replaces the version. One of the
	// two serves at any time.
	versionChanging bool
	adapters        []loaded
}

// loaded is an adapter beside a copy.
type loaded struct {
	name  string
	phase Phase
	bytes int64
}

// NewEngine returns the engine that announces itself so and has that ledger.
func NewEngine(a upstreamapi.Announcement, l ledger.Ledger, standing Standing) Engine {
	e := Engine{
		name:          a.Name,
		failureDomain: a.FailureDomain,
		standing:      standing,
		proved:        len(l.Contradictions()) == 0 && l.Incarnation() != 0,
		takesOrders:   a.Has(upstreamapi.CapabilityOrders),
		adapters:      a.Has(upstreamapi.CapabilityAdapters),
		versions:      a.Has(upstreamapi.CapabilityVersions),
		slots:         float64(a.Load.MaxRunning),
	}
	e.ordered = e.proved && e.takesOrders && standing == Serving
	for _, name := range l.Accelerators() {
		account, _ := l.Account(name)
		free := max(account.Free(), 0)
		e.accelerators = append(e.accelerators, room{name: name, memory: account.Memory, free: free, later: free})
	}
	if e.slots == 0 {
		e.slots = float64(DefaultSlots * len(e.accelerators))
	}
	e.readCopies(a, l)
	e.readLoads(l)
	return e
}

// WithStanding returns the engine with another standing.
func (e Engine) WithStanding(standing Standing) Engine {
	e.standing = standing
	e.ordered = e.proved && e.takesOrders && standing == Serving
	return e
}

// Name returns the engine's name.
func (e Engine) Name() string { return e.name }

// readCopies takes what the engine holds. If its reports contradict the ledger,
// it is what it announces, as PhaseUnproved.
func (e *Engine) readCopies(a upstreamapi.Announcement, l ledger.Ledger) {
	if !e.proved {
		for _, r := range a.Resident {
			c := copied{model: r.Model, version: r.Version, accelerators: r.Accelerators, bytes: r.MemoryBytes, phase: PhaseUnproved}
			for _, name := range r.Adapters {
				c.adapters = append(c.adapters, loaded{name: name, phase: PhaseUnproved})
			}
			e.copies = append(e.copies, c)
		}
		return
	}
	open := l.Open()
	holdings := l.Holdings()
	for _, h := range holdings {
		if h.Adapter == "" {
			e.copies = append(e.copies, e.copyOf(h, open, l))
		}
	}
	for _, h := range holdings {
		c := e.find(h.Model, h.Version)
		if h.Adapter == "" || c == nil {
			continue
		}
		phase := PhaseReady
		if order := removedBy(h, open); order != nil {
			phase = PhaseGoing
			e.giveBack(h, l.Doubtful(order.ID))
		}
		c.adapters = append(c.adapters, loaded{name: h.Adapter, phase: phase, bytes: h.Bytes})
	}
}

// copyOf returns a model that the engine holds.
func (e *Engine) copyOf(h ledger.Holding, open []upstreamapi.Order, l ledger.Ledger) copied {
	c := copied{model: h.Model, version: h.Version, accelerators: h.Accelerators, bytes: h.Bytes, phase: PhaseReady}
	order := removedBy(h, open)
	if order == nil {
		return c
	}
	e.giveBack(h, l.Doubtful(order.ID))
	if order.Kind == upstreamapi.OrderChangeVersion {
		c.versionChanging = true
	} else {
		c.phase = PhaseGoing
	}
	return c
}

// removedBy returns the first open order that may remove the holding, or nil. An
// unload that may still take effect counts as one that does: what it removes
// must not be the last copy.
func removedBy(h ledger.Holding, open []upstreamapi.Order) *upstreamapi.Order {
	i := slices.IndexFunc(open, h.RemovedBy)
	if i < 0 {
		return nil
	}
	return &open[i]
}

// giveBack counts memory that an open order will free. One whose answer was lost
// may never do so, and nobody waits for it.
func (e *Engine) giveBack(h ledger.Holding, doubtful bool) {
	if doubtful {
		return
	}
	for i := range e.accelerators {
		if slices.Contains(h.Accelerators, e.accelerators[i].name) {
			e.accelerators[i].later += h.Bytes
		}
	}
}

// readLoads takes what open orders load.
func (e *Engine) readLoads(l ledger.Ledger) {
	for _, order := range l.Open() {
		h, loads := ledger.Loads(order)
		if !loads {
			continue
		}
		e.loading++
		phase := PhaseComing
		if l.Doubtful(order.ID) {
			phase = PhaseDoubtful
		}
		c := e.find(h.Model, h.Version)
		switch {
		case h.Adapter == "" && c == nil:
			e.copies = append(e.copies, copied{
				model: h.Model, version: h.Version, accelerators: h.Accelerators, bytes: h.Bytes, phase: phase,
			})
		case h.Adapter != "" && c != nil && c.adapter(h.Adapter) == nil:
			c.adapters = append(c.adapters, loaded{name: h.Adapter, phase: phase, bytes: h.Bytes})
		}
	}
}

func (e *Engine) find(model, version string) *copied {
	i := slices.IndexFunc(e.copies, func(c copied) bool { return c.model == model && c.version == version })
	if i < 0 {
		return nil
	}
	return &e.copies[i]
}

func (c *copied) adapter(name string) *loaded {
	i := slices.IndexFunc(c.adapters, func(a loaded) bool { return a.name == name })
	if i < 0 {
		return nil
	}
	return &c.adapters[i]
}
