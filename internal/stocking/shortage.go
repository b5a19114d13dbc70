package stocking

import "slices"

const (
	// unreachableFactor is the weight of the demand for a model without a copy,
	// compared with an overloaded model: all of its requests are lost, not only some.
	unreachableFactor = 2
	// waitingLoss is the loss, in engines, for each request that waits for a model
	// without a copy. Demand alone is not enough: for a model with one request in 10 s it
	// is almost 0.
	waitingLoss = 0.05
	// missingLossPerSecond is added to the loss, in engines, for each second in which
	// requests have found no copy. Within some seconds the model comes before any other.
	missingLossPerSecond = 0.2
)

// shortage is a model that needs another copy now.
type shortage struct {
	model  *modelState
	reason Reason
	// load is the load of the least loaded copy, in engines, 0 if there is no copy.
	load float64
	// loss is an estimate of the work that is lost without the copy, in engines.
	loss float64
	// bound is set if the copy is needed at a software version, for the requests that are bound to it.
	bound *BoundWaiting
}

// allows reports whether a copy on e is of use.
func (s *shortage) allows(e *engineState) bool {
	return s.bound == nil || s.bound.SoftwareVersion == e.SoftwareVersion
}

// hasCallers reports whether there are requests for the copy.
func (s *shortage) hasCallers() bool {
	return s.bound != nil || s.model.Demand > 0 || s.model.Waiting > 0
}

// isUnheld reports whether there are requests for a model that no engine holds or gets.
func (s *shortage) isUnheld() bool {
	return len(s.model.copies) == 0 && s.hasCallers()
}

// demandPerCopy returns the demand that the copy is expected to take, in engines. The demand for a model
// is no reason for a copy at the version to which a few requests are bound.
func (s *shortage) demandPerCopy() float64 {
	if s.bound != nil {
		return 0
	}
	return s.model.Demand / float64(len(s.model.copies)+1)
}

// shortage returns the shortage of a model, counting the copies that this plan has
// ordered. It returns false if the model needs no copy.
func (p *planner) shortage(m *modelState) (shortage, bool) {
	if len(m.copies) == 0 {
		loss := unreachableFactor*m.Demand + waitingLoss*float64(m.Waiting)
		if loss > 0 {
			loss += missingLossPerSecond * m.MissingFor.Seconds()
		}
		return shortage{model: m, reason: Unreachable, loss: loss}, loss > 0
	}
	if m.Demand == 0 {
		return shortage{}, false
	}
	// Requests go to the least loaded copy, so they wait only if that one is overloaded.
	lowestLoad := m.copies[0].load
	for _, e := range m.copies {
		lowestLoad = min(lowestLoad, e.load)
	}
	// The planned copies will take their part of the load.
	lowestLoad *= float64(len(m.copies)-m.planned) / float64(len(m.copies))
	loss := (lowestLoad - p.options.MaxLoad) * min(float64(len(m.copies)), m.Demand/lowestLoad)
	return shortage{model: m, reason: Demand, load: lowestLoad, loss: loss}, lowestLoad > p.options.MaxLoad
}

// relieveShortages orders copies for the models that need them, the one with the highest
// loss first.
//
// Models without a copy do not always come first. If they did, all four loads could go to
// models with few requests, while the model with the highest demand has one copy of the
// four that it needs.
func (p *planner) relieveShortages() {
	skipped := map[shortageKey]bool{}
	for len(p.moves) < p.options.MaxMoves {
		worst := p.worstShortage(skipped)
		if worst.model == nil {
			return
		}
		p.urgent = true
		before := len(p.moves)
		p.addCopy(&worst)
		if len(p.moves) == before {
			skipped[worst.key()] = true
		}
	}
}

// shortageKey identifies a shortage in one plan.
type shortageKey struct {
	model *modelState
	bound *BoundWaiting
}

func (s *shortage) key() shortageKey {
	return shortageKey{s.model, s.bound}
}

// worstShortage returns the shortage with the highest loss that is not skipped. Its model is nil if there
// is none.
func (p *planner) worstShortage(skipped map[shortageKey]bool) (worst shortage) {
	consider := func(s shortage, ok bool) {
		if ok && (worst.model == nil || s.loss > worst.loss) && !skipped[s.key()] {
			worst = s
		}
	}
	for _, m := range p.models {
		consider(p.shortage(m))
		for i := range m.Bound {
			consider(p.boundShortage(m, &m.Bound[i]))
		}
	}
	return worst
}

// boundShortage returns the shortage of a model at the software version to which requests are bound. It
// returns false if they need no copy, or if no engine of the version is there.
func (p *planner) boundShortage(m *modelState, bound *BoundWaiting) (shortage, bool) {
	s := shortage{model: m, reason: Bound, bound: bound}
	if bound.Waiting == 0 || slices.ContainsFunc(m.copies, s.allows) {
		return s, false
	}
	present := false
	for _, e := range p.engines {
		if !s.allows(e) {
			continue
		}
		if e.Expected == m.Name {
			return s, false
		}
		present = true
	}
	s.loss = waitingLoss*float64(bound.Waiting) + missingLossPerSecond*bound.MissingFor.Seconds()
	return s, present
}
