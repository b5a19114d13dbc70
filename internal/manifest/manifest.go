// Package manifest is the replicated placement state: which models and adapters each
// engine has in memory, and the orders to the engines, such as loading or unloading
// a model.
//
// It is part of the replicated state machine: replicas that apply the same commands
// in the same order have equal states, and their snapshots are equal byte for byte.
// An order is recorded here before it is sent, so that a new leader finds every order
// that an earlier leader may have sent and continues it.
//
// An order is open until there is proof that it can have no further effect. An open
// order is doubtful if its answer was lost or if an earlier leader sent it; see
// package ledger.
//
// The intended placement is not stored, so that it can't diverge from the actual
// state. Package placement derives it from the contents of the engines and the open
// orders.
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

// Size limits of the state.
const (
	// MaxEngines limits the number of recorded engines. It is over three times the
	// targeted number of engines.
	MaxEngines = 4096
	// MaxOpenOrders limits the number of open orders to one engine.
	MaxOpenOrders = 64
	// MaxReasonBytes limits Record.Reason and OrderEntry.RefusalReason.
	MaxReasonBytes = 256
)

// Manifest is one replica of the state. It is not safe for concurrent use.
type Manifest struct {
	// leaderTerm is the highest fencing number of any applied NewLeader.
	leaderTerm uint64
	// highestNumber is the highest number of any recorded order to any engine.
	highestNumber uint64
	// engines are sorted by name, which is unique. The slice and its elements are
	// replaced, never modified, so that readers may keep them.
	engines []*Engine
}

// New returns an empty manifest.
func New() *Manifest {
	return &Manifest{}
}

// View is an immutable view of the state that is safe to share.
type View struct {
	// Term is the fencing number of the current leader.
	Term uint64
	// HighestNumber is the highest recorded order number. Numbers are never reused,
	// not even those of orders to removed engines.
	HighestNumber uint64
	// Engines are sorted by name. They must not be modified.
	Engines []*Engine
}

// Engine returns the named engine, or false if it is not recorded.
func (v View) Engine(name string) (Engine, bool) {
	i, known := findEngine(v.Engines, name)
	if !known {
		return Engine{}, false
	}
	return *v.Engines[i], true
}

// View returns the current state without copying it.
func (m *Manifest) View() View {
	return View{Term: m.leaderTerm, HighestNumber: m.highestNumber, Engines: m.engines}
}

// Result is the result of an applied command.
type Result struct {
	// Accepted means that the state reflects the command, perhaps because of an
	// earlier one.
	Accepted bool `json:"accepted"`
	// Reason explains why the command was rejected.
	Reason string `json:"reason,omitempty"`
}

// Apply applies a command, or rejects it with a reason and leaves the state
// unchanged. All replicas come to the same result.
func (m *Manifest) Apply(command Command) Result {
	var err error
	switch c := command.(type) {
	case NewLeader:
		m.applyNewLeader(c)
	case Reports:
		err = m.applyReports(c)
	case Record:
		err = m.applyRecord(c)
	case Resend:
		err = m.applyResend(c)
	case Answer:
		err = m.applyAnswer(c)
	case AnswerLost:
		err = m.applyAnswerLost(c)
	case Withdraw:
		err = m.applyWithdraw(c)
	case RemoveEngine:
		err = m.applyRemoveEngine(c)
	default:
		err = errors.AssertionFailedf("manifest: command %T", command)
	}
	if err != nil {
		return Result{Reason: err.Error()}
	}
	return Result{Accepted: true}
}

func (m *Manifest) applyNewLeader(c NewLeader) {
	if c.Term <= m.leaderTerm {
		return
	}
	m.leaderTerm = c.Term
	engines := slices.Clone(m.engines)
	for i, e := range engines {
		updated := e.withLedger(e.Ledger.WithLeader(c.Term))
		engines[i] = &updated
	}
	m.engines = engines
}

func (m *Manifest) applyReports(c Reports) error {
	engines := slices.Clone(m.engines)
	for _, a := range c.Announcements {
		i, known := findEngine(engines, a.Name)
		if !known {
			if len(engines) >= MaxEngines {
				return errors.Newf("manifest: there are %d engines, of at most %d", len(engines), MaxEngines)
			}
			engines = slices.Insert(engines, i, &Engine{})
		}
		e := *engines[i]
		if a.Incarnation >= e.Announcement.Incarnation {
			e.Announcement = withoutInventory(a)
		}
		e = e.withLedger(e.Ledger.WithReport(e.withRecordedClock(a)).WithLeader(m.leaderTerm))
		engines[i] = &e
	}
	m.engines = engines
	return nil
}

func (m *Manifest) applyRecord(c Record) error {
	e, err := m.engine(c.Engine)
	if err != nil {
		return err
	}
	if open, ok := e.openOrder(c.Order.ID); ok && sameOrder(open, c.Order) {
		return nil
	}
	switch {
	case c.Order.Fencing != m.leaderTerm:
		return errors.Wrapf(ledger.ErrStale, "manifest: fencing number %d, the leader's is %d", c.Order.Fencing, m.leaderTerm)
	case c.Order.Number <= m.highestNumber:
		return errors.Wrapf(ledger.ErrStale, "manifest: number %d after %d", c.Order.Number, m.highestNumber)
	case len(e.Ledger.Open()) >= MaxOpenOrders:
		return errors.Newf("manifest: %d orders to %s are open, of at most %d", MaxOpenOrders, c.Engine, MaxOpenOrders)
	case len(c.Reason) > MaxReasonBytes:
		return errors.Newf("manifest: the reason has %d bytes, of at most %d", len(c.Reason), MaxReasonBytes)
	}
	account, err := e.Ledger.WithOrder(c.Order)
	if err != nil {
		return err
	}
	m.highestNumber = c.Order.Number
	e.Orders = append(slices.Clone(e.Orders), OrderEntry{
		ID:              c.Order.ID,
		Kind:            c.Order.Kind,
		Model:           c.Order.Model,
		Version:         c.Order.Version,
		Adapter:         c.Order.Adapter,
		PlacementReason: c.Reason,
		At:              c.At,
		State:           StateRecorded,
	})
	m.replace(e.withLedger(account))
	return nil
}

// sameOrder reports whether two orders are equal, with equal expiry times in any
// time zone.
func sameOrder(a, b upstreamapi.Order) bool {
	a.NotAfter, b.NotAfter = a.NotAfter.UTC(), b.NotAfter.UTC()
	return reflect.DeepEqual(a, b)
}

func (m *Manifest) applyResend(c Resend) error {
	e, err := m.engine(c.Engine)
	if err != nil {
		return err
	}
	if c.Term != m.leaderTerm {
		return errors.Wrapf(ledger.ErrStale, "manifest: fencing number %d, the leader's is %d", c.Term, m.leaderTerm)
	}
	account, err := e.Ledger.WithResent(c.ID, c.Term)
	if err != nil {
		return err
	}
	m.replace(e.withLedger(account))
	return nil
}

func (m *Manifest) applyAnswer(c Answer) error {
	e, err := m.engine(c.Engine)
	if err != nil {
		return err
	}
	account := e.Ledger.WithAnswer(c.Answer)
	updated := e.withLedger(account)
	_, isOpen := updated.openOrder(c.Answer.ID)
	switch {
	case !e.awaitsAnswer(c.Answer):
	case !isOpen && c.Answer.State == upstreamapi.OrderDone:
		updated = updated.withOrderState(c.Answer.ID, StateDone, "")
	case !isOpen && c.Answer.State.Terminal():
		updated = updated.withOrderState(c.Answer.ID, StateRefused, truncateReason(c.Answer.Reason))
	case isOpen && c.Answer.State == upstreamapi.OrderRunning && !account.Doubtful(c.Answer.ID):
		updated = updated.withOrderState(c.Answer.ID, StateRunning, "")
	}
	m.replace(updated)
	return nil
}

// truncateReason returns the beginning of an engine's text that is stored.
func truncateReason(text string) string {
	return text[:min(len(text), MaxReasonBytes)]
}

func (m *Manifest) applyAnswerLost(c AnswerLost) error {
	e, err := m.engine(c.Engine)
	if err != nil {
		return err
	}
	m.replace(e.withLedger(e.Ledger.WithAnswerLost(c.ID)))
	return nil
}

func (m *Manifest) applyWithdraw(c Withdraw) error {
	e, err := m.engine(c.Engine)
	if err != nil {
		return err
	}
	account, err := e.Ledger.WithWithdrawn(c.ID, c.Term)
	if err != nil {
		return err
	}
	m.replace(e.withOrderState(c.ID, StateWithdrawn, "").withLedger(account))
	return nil
}

func (m *Manifest) applyRemoveEngine(c RemoveEngine) error {
	i, known := findEngine(m.engines, c.Engine)
	if !known {
		return nil
	}
	if open := len(m.engines[i].Ledger.Open()); open > 0 {
		return errors.Newf("manifest: %d orders to %s may yet take effect", open, c.Engine)
	}
	m.engines = slices.Delete(slices.Clone(m.engines), i, i+1)
	return nil
}

// engine returns the named engine, or an error if it is not recorded.
func (m *Manifest) engine(name string) (Engine, error) {
	i, known := findEngine(m.engines, name)
	if !known {
		return Engine{}, errors.Newf("manifest: there is no engine %s", name)
	}
	return *m.engines[i], nil
}

// replace replaces a recorded engine.
func (m *Manifest) replace(e Engine) {
	i, _ := findEngine(m.engines, e.Announcement.Name)
	m.engines = slices.Clone(m.engines)
	m.engines[i] = &e
}

// findEngine returns the index of the named engine, or the index at which to insert
// it and false.
func findEngine(engines []*Engine, name string) (int, bool) {
	return slices.BinarySearchFunc(engines, name, func(e *Engine, name string) int {
		return cmp.Compare(e.Announcement.Name, name)
	})
}

// manifestSnapshot is the snapshot encoding of a Manifest.
type manifestSnapshot struct {
	Term    uint64    `json:"term"`
	Number  uint64    `json:"number"`
	Engines []*Engine `json:"engines,omitempty"`
}

// Empty reports whether the state equals that of a new Manifest.
func (m *Manifest) Empty() bool {
	return m.leaderTerm == 0 && m.highestNumber == 0 && len(m.engines) == 0
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (m *Manifest) Snapshot() ([]byte, error) {
	data, err := json.Marshal(manifestSnapshot{Term: m.leaderTerm, Number: m.highestNumber, Engines: m.engines})
	return data, errors.Wrap(err, "manifest: snapshot")
}

// Restore returns a manifest with the state of a Snapshot. If an accelerator may be
// overcommitted in that state, Restore returns an error.
func Restore(data []byte) (*Manifest, error) {
	var decoded manifestSnapshot
	if err := json.Unmarshal(data, &decoded); err != nil {
		return nil, errors.Wrap(err, "manifest: restore")
	}
	return &Manifest{leaderTerm: decoded.Term, highestNumber: decoded.Number, engines: decoded.Engines}, nil
}
