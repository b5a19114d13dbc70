package backoffice

import (
	"slices"
	"time"
)

// usedAdapterSlots returns how many adapter slots are occupied, including those that
// unconfirmed orders may occupy.
func (e *engine) usedAdapterSlots() int {
	count := 0
	for _, model := range e.report.Models {
		count += len(model.Adapters)
	}
	return count + e.unconfirmed.adapterSlots(e)
}

// usedMegabytes returns the memory taken by weights and adapters, including the memory
// that unconfirmed orders may take.
func (e *engine) usedMegabytes() float64 {
	total := 0.0
	if e.loading != "" {
		loading, _ := e.spec.Model(e.loading)
		total = loading.Megabytes
	}
	for _, held := range e.report.Models {
		model, _ := e.spec.Model(held.Name)
		total += model.Megabytes + float64(len(held.Adapters))*model.AdapterMegabytes
	}
	return total + e.unconfirmed.megabytes(e)
}

// fitsAdapter reports whether an adapter of model can be loaded now. A busy engine
// accepts no order, as it carries out one at a time.
func (e *engine) fitsAdapter(now time.Time, model string) bool {
	spec, known := e.spec.Model(model)
	return known && !e.report.Busy && !now.Before(e.adapterLoadsBlockedUntil) && e.usedAdapterSlots() < e.spec.AdapterSlots && e.usedMegabytes()+spec.AdapterMegabytes <= e.spec.Megabytes
}

// loadTime returns how long the engine takes to load a model.
func (e *engine) loadTime(name string) time.Duration {
	model, _ := e.spec.Model(name)
	switch {
	case slices.Contains(e.report.InMemory, name):
		return model.MemoryLoadTime
	case slices.Contains(e.report.OnDisk, name):
		return model.DiskLoadTime
	default:
		return model.LoadTime
	}
}

// typicalUnloadTime is about how long an engine takes to unload a model, since it first
// completes the requests for it.
const typicalUnloadTime = 1500 * time.Millisecond

// nextModel returns the model that the engine will hold next, and the estimated time
// until then. The name is empty if no load is expected.
func (e *engine) nextModel(now time.Time) (model string, after time.Duration) {
	switch {
	case e.loading != "":
		return e.loading, max(e.loadDoneAt.Sub(now), busyReportInterval)
	case e.reservedFor() != "":
		unloadTime := max(e.withdrawnAt.Add(withdrawalNotice+typicalUnloadTime).Sub(now), busyReportInterval)
		return e.reservedFor(), unloadTime + e.loadTime(e.reservedFor())
	default:
		return "", 0
	}
}
