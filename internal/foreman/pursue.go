package foreman

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// pursue does what is due about the open orders.
func (f *Foreman) pursue(now time.Time, term uint64, present map[string]roster.Upstream) {
	state := f.options.Register.Manifest()
	f.keepHands(state)
	f.mu.Lock()
	known := maps.Clone(f.hands)
	f.mu.Unlock()
	list := duties(now, facts{
		term:       term,
		state:      state,
		present:    present,
		declared:   f.options.World.Issue().Declarations,
		hands:      known,
		retryAfter: retryAfter,
	})
	for _, due := range list {
		switch d := due.(type) {
		case withdraw:
			f.propose(manifest.Withdraw{Engine: d.at.engine, ID: d.at.order.ID, Term: term})
		case ask:
			f.call(d.at.order.ID, func() { f.ask(term, d.at, present) })
		case resend:
			f.call(d.at.order.ID, func() { f.sendAgain(term, d.at) })
		}
	}
}

// keepHands forgets orders that are over.
func (f *Foreman) keepHands(state manifest.View) {
	open := map[string]bool{}
	for _, e := range state.Engines {
		for _, order := range e.Ledger.Open() {
			open[order.ID] = true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.hands, func(id string, h hand) bool { return !open[id] && !h.busy })
}

// call runs a call about an order in the background. Until it ends there is no
// other about the same order.
func (f *Foreman) call(id string, do func()) {
	f.mu.Lock()
	f.hands[id] = hand{busy: true}
	f.mu.Unlock()
	f.calls.Go(func() {
		do()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.hands[id] = hand{tried: f.options.Now()}
	})
}

// ask asks after an order, and sends it again if the engine does not know it.
func (f *Foreman) ask(term uint64, at place, present map[string]roster.Upstream) {
	answer, err := f.line.ask(f.ctx, at.address, at.order.ID)
	if err != nil {
		f.lost(at, err)
		return
	}
	f.answered(at, answer)
	state := f.options.Register.Manifest()
	e, known := state.Engine(at.engine)
	if answer.State != upstreamapi.OrderUnknown || !known || !isOpen(e, at.order.ID) {
		return
	}
	rest := facts{state: state, present: present, declared: f.options.World.Issue().Declarations}
	if rest.mayResend(&e, at.order) {
		f.sendAgain(term, at)
	}
}

func isOpen(e manifest.Engine, id string) bool {
	return slices.ContainsFunc(e.Ledger.Open(), func(o upstreamapi.Order) bool { return o.ID == id })
}

// sendAgain sends the same order under the present fencing number. An engine
// that has had it answers what became of it.
func (f *Foreman) sendAgain(term uint64, at place) {
	recorded := at.order.Fencing == term
	if !recorded && !f.propose(manifest.Resend{Engine: at.engine, ID: at.order.ID, Term: term}) {
		return
	}
	at.order.Fencing = term
	if !f.mayOrder(term) {
		return
	}
	answer, err := f.line.order(f.ctx, at.address, at.order)
	if err != nil {
		f.lost(at, err)
		return
	}
	f.answered(at, answer)
}

// send sends an order for the first time, right after it was recorded. If it
// certainly was not sent, it is taken back.
func (f *Foreman) send(at place) {
	if !f.mayOrder(at.order.Fencing) {
		f.propose(manifest.Withdraw{Engine: at.engine, ID: at.order.ID, Term: at.order.Fencing})
		return
	}
	answer, err := f.line.order(f.ctx, at.address, at.order)
	switch {
	case errors.Is(err, errUnsent):
		f.options.Log.Warn().Err(err).Str("engine", at.engine).Str("order", at.order.ID).Msg("order not sent")
		f.propose(manifest.Withdraw{Engine: at.engine, ID: at.order.ID, Term: at.order.Fencing})
	case err != nil:
		f.lost(at, err)
	default:
		f.answered(at, answer)
	}
}

// lost records that an answer was lost, unless that is recorded already.
func (f *Foreman) lost(at place, err error) {
	f.options.Log.Warn().Err(err).Str("engine", at.engine).Str("order", at.order.ID).Msg("answer to an order lost")
	e, known := f.options.Register.Manifest().Engine(at.engine)
	if known && isOpen(e, at.order.ID) && !e.Ledger.Doubtful(at.order.ID) {
		f.propose(manifest.Lost{Engine: at.engine, ID: at.order.ID})
	}
}

// answered records an answer, unless it says what is recorded already.
func (f *Foreman) answered(at place, answer upstreamapi.OrderAnswer) {
	if answer.ID != at.order.ID {
		f.lost(at, errors.Newf("foreman: answer to order %q instead of %q", answer.ID, at.order.ID))
		return
	}
	e, known := f.options.Register.Manifest().Engine(at.engine)
	if !known || !e.LearnsFrom(answer) {
		return
	}
	f.propose(manifest.Answer{Engine: at.engine, Answer: answer})
	if answer.State == upstreamapi.OrderRunning || answer.State == upstreamapi.OrderUnknown {
		return
	}
	f.options.Log.Info().Str("engine", at.engine).Str("order", at.order.ID).Str("kind", string(at.order.Kind)).
		Str("model", at.order.Model).Str("adapter", at.order.Adapter).Str("version", at.order.Version).
		Str("state", string(answer.State)).Str("reason", answer.Reason).Msg("order is over")
}
