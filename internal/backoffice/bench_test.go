package backoffice_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/routes"
)

const (
	benchEngines = 240
	benchModels  = 291
	benchCalls   = 100
)

// newBenchLeader returns a leader of engines of some versions that are full, and a time at which it knows all
// that there are. Requests are bound to v1 and v2 of half of the models. Only one engine, of v2 if there are several
// versions, holds model m0.
func newBenchLeader(b *testing.B, versions int) (backoffice.Leader, time.Time) {
	b.Helper()
	instance, err := startLone(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { instance.Close(context.Background()) })
	for !instance.KnowsLeader() {
		time.Sleep(time.Millisecond)
	}
	spec := &routes.Engine{Slots: 8, Megabytes: 200_000, AdapterSlots: 2}
	for i := range benchModels {
		spec.Models = append(spec.Models, routes.Model{Name: fmt.Sprint("m", i), Megabytes: 70_000, Adapters: 4, LoadTime: time.Second})
	}
	table, err := routes.New(routes.Draft{Version: 1, Services: []routes.Service{{Name: "pool", Engine: spec}}})
	if err != nil {
		b.Fatal(err)
	}
	leader, now := instance.NewLeader(table), time.Now().Add(loneLease)
	for i := range benchEngines {
		held := []string{fmt.Sprint("m", 1+i%(benchModels-1)), fmt.Sprint("m", 1+(i+benchEngines)%(benchModels-1))}
		if i == 1 {
			held[0] = "m0"
		}
		leader.Add("pool", fmt.Sprint("e", i), fmt.Sprint("v", 1+i%versions)).ApplyReport(now, reportOf(held...))
	}
	var demand []courier.Demand
	for i := range benchModels {
		model := fmt.Sprint("m", i)
		demand = append(demand, courier.Demand{Service: "pool", Model: model, Requests: 1, Answering: time.Second})
		if i%2 == 0 {
			demand = append(demand,
				courier.Demand{Service: "pool", Model: model, Waiting: 1, Software: resumption.BoundTo("v1")},
				courier.Demand{Service: "pool", Model: model, Waiting: 1, Software: resumption.BoundTo("v2")})
		}
	}
	leader.RecordDemand(now, demand...)
	return leader, now
}

// BenchmarkUnavailableReason asks for each of 100 streams that wait whether their model can be had.
func BenchmarkUnavailableReason(b *testing.B) {
	leader, now := newBenchLeader(b, 2)
	for name, remaining := range map[string]time.Duration{"to wait": time.Minute, "refused": time.Millisecond} {
		args := courier.WantArgs{Service: "pool", Model: "m0", Software: resumption.BoundTo("v1"), Remaining: remaining}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				for range benchCalls {
					if refused := leader.UnavailableReason(now, args) != ""; refused != (name == "refused") {
						b.Fatal("refused: ", refused)
					}
				}
			}
		})
	}
}

// BenchmarkPlannerModels describes the models to a planner, as a control instance does eight times a second.
func BenchmarkPlannerModels(b *testing.B) {
	for _, versions := range []int{1, 2} {
		leader, now := newBenchLeader(b, versions)
		b.Run(fmt.Sprint("versions ", versions), func(b *testing.B) {
			for b.Loop() {
				leader.PlannerModels(now, "pool")
			}
		})
	}
}
