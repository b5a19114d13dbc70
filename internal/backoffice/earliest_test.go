package backoffice_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
)

// pick returns one of some values.
func pick[T any](random *rand.Rand, values ...T) T {
	return values[random.IntN(len(values))]
}

// addRandomEngine adds an engine of any version and state.
func addRandomEngine(random *rand.Rand, now time.Time, leader backoffice.Leader, name string) {
	e := leader.Add("pool", name, pick(random, "v1", "v2"))
	report := pick(random, reportOf("b", "c"), reportOf("b", "c"), reportOf("b", "c"), reportOf("b", "c"), reportOf("a", "b"), reportOf("b"))
	report.Busy, report.Leaving = random.IntN(8) == 0, random.IntN(8) == 0
	if random.IntN(4) > 0 {
		report.OnDisk = []string{pick(random, "a", "b", "c")}
	}
	e.ApplyReport(now, report)
	switch random.IntN(6) {
	case 0:
		e.AcceptLoad(pick(random, "a", "b", "c"), 0)
	case 1:
		e.WithdrawFor(pick(random, "a", "b", "c"), pick(random, "a", "b", "c"))
	case 2:
		e.MarkStale()
	case 3:
		leader.RecordLimit(now, name, 0.1)
	}
}

var _ = It("The time until an engine of a version holds a model is that by which plans are made", func(ctx SpecContext) {
	const states, engines = 2000, 4
	instance, table := newLone(ctx), resumableTable(time.Minute)
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Now().Add(loneLease)
	seen := map[backoffice.EarliestCopy]int{}
	for range states {
		leader := instance.NewLeader(table)
		leader.KeepLastCopies("pool", pick(random, 0, 20*time.Second, 20*time.Second))
		for _, model := range []string{"a", "b", "c"} {
			if random.IntN(4) > 0 {
				leader.RecordDemand(now.Add(-time.Duration(random.IntN(3))*time.Second), courier.Demand{Service: "pool", Model: model, Requests: random.IntN(3), Waiting: 1, Answering: time.Second})
			}
		}
		for i := range 1 + random.IntN(engines) {
			addRandomEngine(random, now, leader, fmt.Sprint("e", i))
		}
		told := leader.EarliestCopy(now, "pool", "a", "v1")
		Expect(told).To(Equal(leader.PlannedEarliestCopy(now, "pool", "a", "v1")))
		seen[told]++
	}
	Expect(seen).To(HaveKey(backoffice.EarliestCopy{After: 19 * time.Second, Possible: true}), "kept copies")
}, SpecTimeout(specTimeout))
