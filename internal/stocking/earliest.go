package stocking

import (
	"slices"
	"time"
)

// EarliestCopy returns a lower bound of the time until an engine of a software version holds a model. It is
// as if all that changes by itself, such as an order under way or the load of an engine, changed at once.
// ok is false if no engine of the version can hold the model.
func EarliestCopy(model, version string, models []Model, engines []Engine) (after time.Duration, ok bool) {
	p := &planner{}
	p.addModels(models)
	p.addEngines(engines)
	p.addCopies()
	i := slices.IndexFunc(p.models, func(m *modelState) bool { return m.Name == model })
	if i < 0 {
		return 0, false
	}
	s := &shortage{model: p.models[i], reason: Bound, bound: &BoundWaiting{SoftwareVersion: version}}
	for _, e := range p.engines {
		if !s.allows(e) {
			continue
		}
		if onEngine, possible := p.earliestOn(s, e); possible && (!ok || onEngine < after) {
			after, ok = onEngine, true
		}
	}
	return after, ok
}

// earliestOn is EarliestCopy for one engine.
func (p *planner) earliestOn(s *shortage, e *engineState) (after time.Duration, ok bool) {
	m := s.model
	loadTime, _ := e.loadTime(m)
	switch {
	case m.Megabytes > e.Megabytes:
		return 0, false
	case slices.Contains(e.Loaded, m.Name), e.Loading == m.Name, e.Expected == m.Name:
		return 0, true
	case e.Unavailable, e.Throttled, e.Loading != "", e.UsedMegabytes+m.Megabytes <= e.Megabytes:
		return loadTime, true
	}
	for _, held := range e.holds {
		if e.UsedMegabytes-held.Megabytes+m.Megabytes > e.Megabytes {
			continue
		}
		keptFor := time.Duration(0)
		if p.isKept(s, held, e) {
			keptFor = held.KeptFor
		}
		if !ok || keptFor+loadTime < after {
			after, ok = keptFor+loadTime, true
		}
	}
	return after, ok
}
