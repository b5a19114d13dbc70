// Package manifest holds which engine holds what, and the orders that are under
// way (replicated placement state).
//
// It is part of the replicated state machine: replicas that apply the same
// commands in the same order hold the same state, and their snapshots have equal
// bytes. An order is recorded here before it is sent, so a new leader finds
// every order that an earlier one may have sent, and continues with it.
//
// The placement that is intended is what the engines hold, changed by the open
// orders: package placement plans from there, and keeps no other that could
// drift from the world.
package manifest

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/ledger"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Bounds of the state.
const (
	// MaxEngines is how many engines are recorded, over three times the target.
	MaxEngines = 4096
	// MaxOpen is how many orders to one engine are open at once.
	MaxOpen = 64
	// MaxWhyBytes bounds Record.Why.
	MaxWhyBytes = 256
)

// Manifest is one replica of the state. It is not safe for concurrent use.
type Manifest struct {
	// term is the greatest fencing number of any Lead.
	term uint64
	// number is the greatest of any order that was recorded, over all engines.
	number uint64
	// engines are sorted by name, each once. The slice and what it points to are
	// replaced and never changed, so that readers may keep them.
	engines []*Engine
}

// New returns the empty state.
func New() *Manifest {
	return &Manifest{}
}

// View is the state at one moment. It is immutable and safe to share.
type View struct {
	// Term is the fencing number of the leader that gives orders.
	Term uint64
	// Number is the greatest of any order. Numbers are not used twice, also for
	// engines that were forgotten.
	Number uint64
	// Engines are sorted by name. What they point to must not be changed.
	Engines []*Engine
}

// Engine returns the engine of that name, or false.
func (v View) Engine(name string) (Engine, bool) {
	i, known := find(v.Engines, name)
	if !known {
		return Engine{}, false
	}
	return *v.Engines[i], true
}

// View returns the state as it is now, without a copy.
func (m *Manifest) View() View {
	return View{Term: m.term, Number: m.number, Engines: m.engines}
}

// Result is what applying a command gave.
type Result struct {
	// Accepted means that the state is as the command says, perhaps since an
	// earlier one.
	Accepted bool `json:"accepted"`
	// Reason says why the command was refused.
	Reason string `json:"reason,omitempty"`
}

// Apply carries out a command. If it may not be, Apply changes nothing and says
// why; all replicas refuse it alike.
func (m *Manifest) Apply(command Command) Result {
	var err error
	switch c := command.(type) {
	case Lead:
		m.lead(c)
	case Reports:
		err = m.reports(c)
	case Record:
		err = m.record(c)
	case Resend:
		err = m.resend(c)
	case Answer:
		err = m.answer(c)
	case Lost:
		err = m.lost(c)
	case Withdraw:
		err = m.withdraw(c)
	case Forget:
		err = m.forget(c)
	default:
		err = errors.AssertionFailedf("manifest: command %T", command)
	}
	if err != nil {
		return Result{Reason: err.Error()}
	}
	return Result{Accepted: true}
}

func (m *Manifest) lead(c Lead) {
	if c.Term <= m.term {
		return
	}
	m.term = c.Term
	next := slices.Clone(m.engines)
	for i, e := range next {
		led := e.withLedger(e.Ledger.WithLeader(c.Term))
		next[i] = &led
	}
	m.engines = next
}

func (m *Manifest) reports(c Reports) error {
	next := slices.Clone(m.engines)
	for _, a := range c.Announcements {
		i, known := find(next, a.Name)
		if !known {
			if len(next) >= MaxEngines {
				return errors.Newf("manifest: there are %d engines, of at most %d", len(next), MaxEngines)
			}
			next = slices.Insert(next, i, &Engine{})
		}
		e := *next[i]
		if a.Incarnation >= e.Announced.Incarnation {
			e.Announced = identified(a)
		}
		e = e.withLedger(e.Ledger.WithReport(e.dated(a)).WithLeader(m.term))
		next[i] = &e
	}
	m.engines = next
	return nil
}

func (m *Manifest) record(c Record) error {
	e, err := m.engine(c.Engine)
	if err != nil {
		return err
	}
	if open, ok := e.openOrder(c.Order.ID); ok && sameOrder(open, c.Order) {
		return nil
	}
	switch {
	case c.Order.Fencing != m.term:
		return errors.Wrapf(ledger.ErrStale, "manifest: fencing number %d, the leader's is %d", c.Order.Fencing, m.term)
	case c.Order.Number <= m.number:
		return errors.Wrapf(ledger.ErrStale, "manifest: number %d after %d", c.Order.Number, m.number)
	case len(e.Ledger.Open()) >= MaxOpen:
		return errors.Newf("manifest: %d orders to %s are open, of at most %d", MaxOpen, c.Engine, MaxOpen)
	case len(c.Why) > MaxWhyBytes:
		return errors.Newf("manifest: the reason has %d bytes, of at most %d", len(c.Why), MaxWhyBytes)
	}
	account, err := e.Ledger.WithOrder(c.Order)
	if err != nil {
		return err
	}
	m.number = c.Order.Number
	e.Orders = append(slices.Clone(e.Orders), Entry{
		ID:      c.Order.ID,
		Kind:    c.Order.Kind,
		Model:   c.Order.Model,
		Version: c.Order.Version,
		Adapter: c.Order.Adapter,
		Why:     c.Why,
		At:      c.At,
		State:   StateRecorded,
	})
	m.put(e.withLedger(account))
	return nil
}

// sameOrder tells whether two commands record the same order.
func sameOrder(a, b upstreamapi.Order) bool {
	a.NotAfter, b.NotAfter = a.NotAfter.UTC(), b.NotAfter.UTC()
	return reflect.DeepEqual(a, b)
}

func (m *Manifest) resend(c Resend) error {
	e, err := m.engine(c.Engine)
	if err != nil {
		return err
	}
	if c.Term != m.term {
		return errors.Wrapf(ledger.ErrStale, "manifest: fencing number %d, the leader's is %d", c.Term, m.term)
	}
	account, err := e.Ledger.WithResent(c.ID, c.Term)
	if err != nil {
		return err
	}
	m.put(e.withLedger(account))
	return nil
}

func (m *Manifest) answer(c Answer) error {
	e, err := m.engine(c.Engine)
	if err != nil {
		return err
	}
	account := e.Ledger.WithAnswer(c.Answer)
	_, was := e.openOrder(c.Answer.ID)
	next := e.withLedger(account)
	_, is := next.openOrder(c.Answer.ID)
	switch {
	case !was:
	case !is && c.Answer.State == upstreamapi.OrderDone:
		next = next.withState(c.Answer.ID, StateDone, "")
	case !is && c.Answer.State.Final():
		next = next.withState(c.Answer.ID, StateRefused, bounded(c.Answer.Reason))
	case is && c.Answer.State == upstreamapi.OrderRunning && !account.Doubtful(c.Answer.ID):
		next = next.withState(c.Answer.ID, StateRunning, "")
	}
	m.put(next)
	return nil
}

// bounded returns as much of an engine's text as is kept.
func bounded(text string) string {
	return text[:min(len(text), MaxWhyBytes)]
}

func (m *Manifest) lost(c Lost) error {
	e, err := m.engine(c.Engine)
	if err != nil {
		return err
	}
	m.put(e.withLedger(e.Ledger.WithLost(c.ID)))
	return nil
}

func (m *Manifest) withdraw(c Withdraw) error {
	e, err := m.engine(c.Engine)
	if err != nil {
		return err
	}
	account, err := e.Ledger.WithWithdrawn(c.ID, c.Term)
	if err != nil {
		return err
	}
	m.put(e.withState(c.ID, StateWithdrawn, "").withLedger(account))
	return nil
}

func (m *Manifest) forget(c Forget) error {
	i, known := find(m.engines, c.Engine)
	if !known {
		return nil
	}
	if open := len(m.engines[i].Ledger.Open()); open > 0 {
		return errors.Newf("manifest: %d orders to %s may yet take effect", open, c.Engine)
	}
	m.engines = slices.Delete(slices.Clone(m.engines), i, i+1)
	return nil
}

// engine returns the engine of that name, or an error.
func (m *Manifest) engine(name string) (Engine, error) {
	i, known := find(m.engines, name)
	if !known {
		return Engine{}, errors.Newf("manifest: there is no engine %s", name)
	}
	return *m.engines[i], nil
}

// put replaces an engine that is known.
func (m *Manifest) put(e Engine) {
	i, _ := find(m.engines, e.Announced.Name)
	m.engines = slices.Clone(m.engines)
	m.engines[i] = &e
}

func find(engines []*Engine, name string) (int, bool) {
	return slices.BinarySearchFunc(engines, name, func(e *Engine, name string) int {
		return cmp.Compare(e.Announced.Name, name)
	})
}

// durable is the state in a snapshot.
type durable struct {
	Term    uint64    `json:"term"`
	Number  uint64    `json:"number"`
	Engines []*Engine `json:"engines,omitempty"`
}

// Empty tells whether no command has changed the state yet.
func (m *Manifest) Empty() bool {
	return m.term == 0 && m.number == 0 && len(m.engines) == 0
}

// Snapshot returns the whole state. Equal states give equal bytes.
func (m *Manifest) Snapshot() ([]byte, error) {
	data, err := json.Marshal(durable{Term: m.term, Number: m.number, Engines: m.engines})
	return data, errors.Wrap(err, "manifest: snapshot")
}

// Restore returns the state of a Snapshot. If by it an accelerator may be
// overcommitted, Restore returns an error.
func Restore(data []byte) (*Manifest, error) {
	var d durable
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, errors.Wrap(err, "manifest: restore")
	}
	return &Manifest{term: d.Term, number: d.Number, engines: d.Engines}, nil
}
