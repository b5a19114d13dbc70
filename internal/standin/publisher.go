package standin

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// wakePublisher signals a possible change of the prefix cache.
func (e *Engine) wakePublisher() {
	select {
	case e.cacheChanged <- struct{}{}:
	default:
	}
}

// publishCacheEvents sends cache events to an instance until the engine is
// closed. Events that no instance accepts are lost, as with a real engine; the
// receivers detect the gap in the sequence numbers.
func (e *Engine) publishCacheEvents() {
	for {
		select {
		case <-e.backgroundCtx.Done():
			return
		case <-e.cacheChanged:
		}
		e.mu.Lock()
		firstNumber, events := e.cache.DrainEvents()
		e.mu.Unlock()
		if len(events) == 0 || !e.supports(upstreamapi.CapabilityCacheEvents) {
			continue
		}
		drainedAt := e.clock.Now()
		if wait(e.backgroundCtx, e.clock, e.options.Faults.CacheEventDelay) != nil {
			return
		}
		for _, batch := range e.batchEvents(firstNumber, events) {
			e.sendCacheEvents(batch, e.clock.Now().Sub(drainedAt))
		}
	}
}

// batchEvents drops the events that the configured fault loses and groups the
// rest into batches of consecutive numbers.
func (e *Engine) batchEvents(firstNumber uint64, events []upstreamapi.CacheEvent) []upstreamapi.CacheEvents {
	var all []upstreamapi.CacheEvents
	contiguous := false
	for i, event := range events {
		number := firstNumber + uint64(i)
		if loseEvent := e.options.Faults.LoseCacheEvent; loseEvent != nil && loseEvent(number) {
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
		if e.announcer.post(e.backgroundCtx, instance+upstreamapi.CacheEventsPath, batch, nil) == nil {
			return
		}
	}
}
