package counter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/permit"
)

// engineCounts are those of the deployments in use and of the target.
var engineCounts = []int{20, 240, 1100}

// holdingsOf are those of so many engines with four models each.
func holdingsOf(engines int) courier.Holdings {
	var held courier.Holdings
	for i := range engines {
		one := courier.Holding{Name: fmt.Sprint("e", i), Age: 100 * time.Millisecond, Running: 6}
		for m := range 4 {
			one.Models = append(one.Models, courier.HeldModel{Name: fmt.Sprint("model-", (i*4+m)%(engines+50)), Adapters: []string{"a1", "a2"}})
		}
		held.Engines = append(held.Engines, one)
	}
	return held
}

func fleetOf(engines int) counter.UpstreamPool {
	fleet := counter.NewUpstreamPool("here", lease)
	for i := range engines {
		smallEngine(fleet, fmt.Sprint("e", i))
	}
	fleet.ApplyHoldings(start, holdingsOf(engines))
	return fleet
}

// BenchmarkHold takes in what engines hold, as each entry instance does some times a
// second.
func BenchmarkHold(b *testing.B) {
	for _, engines := range engineCounts {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			fleet := fleetOf(engines)
			held := holdingsOf(engines)
			b.ReportAllocs()
			for b.Loop() {
				fleet.ApplyHoldings(start, held)
			}
		})
	}
}

// BenchmarkAnswer answers a question for a model at its owner, and takes the place back.
func BenchmarkAnswer(b *testing.B) {
	for _, engines := range engineCounts {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			among := addresses(engines * 5 / 4)
			own := counter.NewInstance(fleetOf(engines), among[0], among)
			id := permit.ID(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				own.Receive(start, among[1], asking(id, "model-7"))
				own.Receive(start, among[1], permit.Ended{ID: id, Outcome: permit.Worked})
			}
		})
	}
}

// BenchmarkLook looks at 200 requests that wait for engines that are full, as an owner
// does 250 times a second while one of its models rises.
func BenchmarkLook(b *testing.B) {
	const waiting = 200
	for _, engines := range engineCounts {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			fleet := fleetOf(engines)
			for i := range engines {
				fleet.PeerActive(start, fmt.Sprint("e", i), 12, 1)
			}
			line := counter.NewQueue(fleet, 1)
			for range waiting {
				line.Enqueue(start, "model-7", 800*time.Millisecond)
			}
			b.ReportAllocs()
			for b.Loop() {
				line.Dispatch(start)
			}
		})
	}
}

// BenchmarkAllow asks whether a request may be sent to an upstream that names no limit, and to
// one whose limit the instance owns.
func BenchmarkAllow(b *testing.B) {
	for _, limit := range []float64{-1, 200} {
		b.Run(fmt.Sprint(limit), func(b *testing.B) {
			among := addresses(330)
			fleet := fleetOf(1)
			own := counter.NewInstance(fleet, among[0], among[:1])
			if limit >= 0 {
				fleet.SetLimit(start, "e0", limit)
			}
			b.ReportAllocs()
			for b.Loop() {
				own.AllowByLimit("e0")
			}
		})
	}
}
