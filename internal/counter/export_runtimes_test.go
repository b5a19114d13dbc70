package counter

import "time"

// ObserveRunTime records the run time of one request for a model.
func (i Instance) ObserveRunTime(service, model string, sample time.Duration) {
	i.proxy.runTimes.observe(modelKey{service, model}, sample)
}

// ReportedRunTimes returns the run times that the instance reports with its next sync.
func (i Instance) ReportedRunTimes(now time.Time) map[string]time.Duration {
	reported := map[string]time.Duration{}
	for _, d := range i.proxy.takeDemand(now) {
		reported[d.Model] = d.RunTime
	}
	return reported
}
