package counter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/permit"
)

// engineCounts are the sizes of the deployments in use and of the target deployment.
var engineCounts = []int{20, 240, 1100}

// engineStatesOf returns the states of engines with four models each.
func engineStatesOf(engines int) courier.EngineStates {
	var states courier.EngineStates
	for i := range engines {
		engine := courier.EngineState{Name: fmt.Sprint("e", i), Age: 100 * time.Millisecond, Running: 6}
		for m := range 4 {
			engine.Models = append(engine.Models, courier.LoadedModel{Name: fmt.Sprint("model-", (i*4+m)%(engines+50)), Adapters: []string{"a1", "a2"}})
		}
		states.Engines = append(states.Engines, engine)
	}
	return states
}

func poolOf(engines int) counter.UpstreamPool {
	pool := counter.NewUpstreamPool("here", lease)
	for i := range engines {
		addSmallEngine(pool, fmt.Sprint("e", i))
	}
	pool.ApplyEngineStates(start, engineStatesOf(engines))
	return pool
}

// BenchmarkHold applies engine states, which each entry instance does several times a second.
func BenchmarkHold(b *testing.B) {
	for _, engines := range engineCounts {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			pool := poolOf(engines)
			states := engineStatesOf(engines)
			b.ReportAllocs()
			for b.Loop() {
				pool.ApplyEngineStates(start, states)
			}
		})
	}
}

// BenchmarkAnswer handles a permit request at the owner of a model, and the end of the permit.
func BenchmarkAnswer(b *testing.B) {
	for _, engines := range engineCounts {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			among := instanceAddresses(engines * 5 / 4)
			instance := counter.NewInstance(poolOf(engines), among[0], among)
			id := permit.ID(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				instance.Receive(start, among[1], askMessage(id, "model-7"))
				instance.Receive(start, among[1], permit.Release{ID: id, Outcome: permit.Succeeded})
			}
		})
	}
}

// BenchmarkLook dispatches 200 requests that wait for full engines, which an owner does 250 times a
// second while the load of one of its models rises.
func BenchmarkLook(b *testing.B) {
	const waiting = 200
	for _, engines := range engineCounts {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			pool := poolOf(engines)
			for i := range engines {
				pool.PeerActive(start, fmt.Sprint("e", i), 12, 1)
			}
			queue := counter.NewQueue(pool, 1)
			for range waiting {
				queue.Enqueue(start, "model-7", 800*time.Millisecond)
			}
			b.ReportAllocs()
			for b.Loop() {
				queue.Dispatch(start)
			}
		})
	}
}

// BenchmarkAllow checks the rate limit of an upstream without a limit, and of one whose limit the
// instance owns.
func BenchmarkAllow(b *testing.B) {
	for _, limit := range []float64{-1, 200} {
		b.Run(fmt.Sprint(limit), func(b *testing.B) {
			among := instanceAddresses(330)
			pool := poolOf(1)
			instance := counter.NewInstance(pool, among[0], among[:1])
			if limit >= 0 {
				pool.SetLimit(start, "e0", limit)
			}
			b.ReportAllocs()
			for b.Loop() {
				instance.AllowByLimit("e0")
			}
		})
	}
}
