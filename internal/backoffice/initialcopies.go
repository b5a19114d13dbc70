package backoffice

// countInitialCopies records how many copies each model of a service has before the first demand, if
// the routes in force mix batch and interactive requests. Copies that make room later do not lower
// the number. o.mu is held.
func (o *orchestrator) countInitialCopies(service string) {
	if !o.table.MixesUrgency() || len(o.demand) > 0 {
		return
	}
	counts := map[demandKey]int{}
	for _, e := range o.engines {
		if e.service != service || e.isLeaving() {
			continue
		}
		for _, model := range e.report.Models {
			counts[keyOf(service, model.Name)]++
		}
	}
	for key, count := range counts {
		o.initialCopies[key] = max(o.initialCopies[key], count)
	}
}
