package standin

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// wakePublisher says that the prefix cache may have changed.
func (e *Engine) wakePublisher() {
	select {
	case e.cacheChanged <- struct{}{}:
	default:
	}
}

// publish sends cache events to an instance until the engine is closed. Events
// that no instance takes are lost, as real engines lose them: the receivers see
// the gap by its number.
func (e *Engine) publish() {
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.cacheChanged:
		}
		e.mu.Lock()
		first, events := e.cache.Take()
		e.mu.Unlock()
		if len(events) == 0 || !e.can(upstreamapi.CapabilityCacheEvents) {
			continue
		}
		taken := e.clock.Now()
		if wait(e.ctx, e.clock, e.options.Faults.CacheEventDelay) != nil {
			return
		}
		for _, batch := range e.batches(first, events) {
			e.sendCacheEvents(batch, e.clock.Now().Sub(taken))
		}
	}
}

// batches returns the events without those that get lost, in runs of successive
// numbers.
func (e *Engine) batches(first uint64, events []upstreamapi.CacheEvent) []upstreamapi.CacheEvents {
	var all []upstreamapi.CacheEvents
	contiguous := false
	for i, event := range events {
		number := first + uint64(i)
		if lose := e.options.Faults.LoseCacheEvent; lose != nil && lose(number) {
			contiguous = false
			continue
		}
		if !contiguous {
			all = append(all, upstreamapi.CacheEvents{
				Name:        e.options.Name,
				Incarnation: e.options.Incarnation,
				First:       number,
			})
			contiguous = true
		}
		last := &all[len(all)-1]
		last.Events = append(last.Events, event)
	}
	return all
}

func (e *Engine) sendCacheEvents(batch upstreamapi.CacheEvents, age time.Duration) {
	batch.Age = age
	for _, instance := range e.announcer.instances() {
		if e.announcer.post(e.ctx, instance+upstreamapi.CacheEventsPath, batch, nil) == nil {
			return
		}
	}
}
