package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
)

// runTimes are the mean times for which engines have the requests for each model. Models of one service
// differ by a factor of four, and only the instance that places the requests for a model sees enough of
// them to tell. It is not safe for concurrent use.
type runTimes map[modelKey]*runTime

type runTime struct {
	mean time.Duration
	// changed is true if the mean has changed since it was last reported.
	changed bool
}

// runTimeSamples is the number of samples over which a run time is averaged.
const runTimeSamples = 16

func (r runTimes) observe(key modelKey, sample time.Duration) {
	known := r[key]
	if known == nil {
		r[key] = &runTime{mean: sample, changed: true}
		return
	}
	known.mean += (sample - known.mean) / runTimeSamples
	known.changed = true
}

// takeRunTimes returns the run times of the models that this instance owns, if they have changed since
// the last call. p.mu is held.
func (p *Proxy) takeRunTimes(now time.Time) []courier.Demand {
	var reports []courier.Demand
	for key, known := range p.runTimes {
		if known.changed && p.owners.owns(now, key.service, key.model) {
			known.changed = false
			reports = append(reports, courier.Demand{Service: key.service, Model: key.model, RunTime: known.mean})
		}
	}
	return reports
}
