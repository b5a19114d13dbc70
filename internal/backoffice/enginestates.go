package backoffice

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
)

const (
	// minEngineStatesInterval is the minimum interval between two encodings of the engine
	// states. Entry instances sync every 250 ms.
	minEngineStatesInterval = 50 * time.Millisecond
	// engineStatesIntervalPerEngine makes the interval grow with the engines. Each encoding has
	// the states of all engines, goes to all instances and costs money between failure domains,
	// and the reports of many engines are fetched less often anyway.
	engineStatesIntervalPerEngine = 300 * time.Microsecond
)

// engineStatesInterval returns the minimum interval between two encodings of the states of a
// number of engines.
func engineStatesInterval(engines int) time.Duration {
	return max(minEngineStatesInterval, time.Duration(engines)*engineStatesIntervalPerEngine)
}

// engineStates returns the encoded states of all engines (their models and load), with
// their revision and age. It returns nothing if this instance does not lead, or if have,
// the caller's revision, is current.
func (o *orchestrator) engineStates(now time.Time, have uint64) (encoded []byte, revision uint64, age time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == 0 {
		return nil, 0, 0
	}
	if o.encodedRevision != o.revision && now.Sub(o.encodedAt) >= engineStatesInterval(len(o.engines)) {
		o.encodedStates, o.encodedRevision, o.encodedAt = o.collectEngineStates(now).Encode(), o.revision, now
	}
	// The upper half of a revision is its term. States of an earlier term are not returned.
	if o.encodedRevision == have || o.encodedRevision>>32 != o.term {
		return nil, 0, 0
	}
	return o.encodedStates, o.encodedRevision, now.Sub(o.encodedAt)
}

// collectEngineStates returns the states of all engines with a report. o.mu is held.
func (o *orchestrator) collectEngineStates(now time.Time) courier.EngineStates {
	states := courier.EngineStates{Revision: o.revision}
	for _, e := range o.engines {
		if !e.hasReport {
			continue
		}
		states.Engines = append(states.Engines, courier.EngineState{
			Name: e.Name, Incarnation: e.incarnation, Age: now.Sub(e.reportedAt),
			Running: e.report.Running, Queued: e.report.Queued, KVUsed: e.report.KVUsed,
			Models: e.advertisedModels(),
		})
		last := &states.Engines[len(states.Engines)-1]
		last.NextModel, last.NextModelIn = e.nextModel(now)
	}
	return states
}
