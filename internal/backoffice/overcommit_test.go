package backoffice_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/routes"
)

// simulatedEngine carries out orders as engines do, some of them seconds late and without an
// answer.
type simulatedEngine struct {
	random  *rand.Rand
	spec    *routes.Engine
	report  backoffice.Report
	loading string
	// done ends the order that is being carried out at doneAt.
	done   func()
	doneAt time.Time
	late   []lateOrder
	// reports are the states of the last maxReportLag, oldest first.
	reports []backoffice.Report
	// overcommitted describes the first order that exceeded the engine's room.
	overcommitted string
}

type lateOrder struct {
	backoffice.Order
	at time.Time
}

const (
	simulationStep  = 20 * time.Millisecond
	maxReportLag    = 300 * time.Millisecond
	simulatedTime   = time.Minute
	simulatedSeeds  = 150
	lateOrderShare  = 0.3
	minLateOrder    = 2 * time.Second
	maxLateOrder    = 12 * time.Second
	maxLeaseWait    = 300 * time.Millisecond
	maxOrderRunTime = 3 * time.Second
)

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// step advances the engine to now.
func (s *simulatedEngine) step(now time.Time) {
	if s.done != nil && !now.Before(s.doneAt) {
		s.done()
		s.done, s.report.Busy = nil, false
	}
	s.late = slices.DeleteFunc(s.late, func(o lateOrder) bool {
		if now.Before(o.at) {
			return false
		}
		s.carryOut(now, o.Order)
		return true
	})
	current := s.report
	current.Models = slices.Clone(current.Models)
	s.reports = append(s.reports, current)
	s.reports = s.reports[max(0, len(s.reports)-int(maxReportLag/simulationStep)):]
}

// laggingReport returns a recent report.
func (s *simulatedEngine) laggingReport() backoffice.Report {
	return s.reports[s.random.IntN(len(s.reports))]
}

// order receives an order. It returns false if it gives no answer.
func (s *simulatedEngine) order(now time.Time, order backoffice.Order) (backoffice.OrderAnswer, bool) {
	if s.random.Float64() < lateOrderShare {
		s.late = append(s.late, lateOrder{order, now.Add(between(s.random, minLateOrder, maxLateOrder))})
		return 0, false
	}
	return s.carryOut(now, order), true
}

func (s *simulatedEngine) carryOut(now time.Time, order backoffice.Order) backoffice.OrderAnswer {
	if s.done != nil || order.ExpectedSequence != s.report.Sequence {
		return backoffice.Refused
	}
	s.report.Sequence++
	run := func(done func()) backoffice.OrderAnswer {
		s.done, s.doneAt = done, now.Add(between(s.random, simulationStep, maxOrderRunTime))
		return backoffice.Accepted
	}
	switch {
	case order.Adapter != "" && order.Kind == backoffice.Load:
		s.setAdapters(order.Model, func(names []string) []string { return append(names, order.Adapter) })
		s.check(order)
		return backoffice.Accepted
	case order.Adapter != "":
		unload := func() {
			s.setAdapters(order.Model, func(names []string) []string {
				return slices.DeleteFunc(names, func(name string) bool { return name == order.Adapter })
			})
		}
		if inUse := s.random.Float64() < 0.5; inUse {
			return run(unload)
		}
		unload()
		return backoffice.AlreadyDone
	case order.Kind == backoffice.Load:
		s.loading, s.report.Busy = order.Model, true
		s.check(order)
		return run(func() {
			s.loading = ""
			s.report.Models = append(slices.Clone(s.report.Models), courier.LoadedModel{Name: order.Model})
		})
	default:
		s.report.Busy = true
		return run(func() {
			s.report.Models = slices.DeleteFunc(slices.Clone(s.report.Models), func(m courier.LoadedModel) bool { return m.Name == order.Model })
		})
	}
}

func (s *simulatedEngine) setAdapters(model string, change func([]string) []string) {
	s.report.Models = slices.Clone(s.report.Models)
	for i, held := range s.report.Models {
		if held.Name == model {
			s.report.Models[i].Adapters = change(slices.Clone(held.Adapters))
		}
	}
}

// check records whether the engine has more to hold than it has room for.
func (s *simulatedEngine) check(order backoffice.Order) {
	loading, _ := s.spec.Model(s.loading)
	megabytes, adapters := loading.Megabytes, 0
	for _, held := range s.report.Models {
		model, _ := s.spec.Model(held.Name)
		megabytes += model.Megabytes + float64(len(held.Adapters))*model.AdapterMegabytes
		adapters += len(held.Adapters)
	}
	if s.overcommitted == "" && (megabytes > s.spec.Megabytes || adapters > s.spec.AdapterSlots) {
		s.overcommitted = fmt.Sprintf("order %+v: %v MB, %d adapters", order, megabytes, adapters)
	}
}

// simulatedLeader orders random loads and unloads that fit by its view of an engine.
type simulatedLeader struct {
	random *rand.Rand
	spec   *routes.Engine
	view   backoffice.Engine
	// pending is the order that waits for the engine's lease until sendAt, or for an answer
	// until answeredAt.
	pending    *backoffice.Order
	sendAt     time.Time
	answeredAt time.Time
	reportAt   time.Time
}

func (l *simulatedLeader) step(now time.Time, engine *simulatedEngine) {
	switch {
	case l.pending == nil:
		l.begin(now)
	case !l.answeredAt.IsZero() && !now.Before(l.answeredAt):
		l.view.CompleteUnanswered(now, *l.pending)
		l.pending, l.answeredAt = nil, time.Time{}
	case l.answeredAt.IsZero() && !now.Before(l.sendAt):
		l.send(now, engine)
	}
	if !now.Before(l.reportAt) {
		l.view.ApplyReport(now, engine.laggingReport())
		l.reportAt = now.Add(between(l.random, simulationStep, 500*time.Millisecond))
	}
}

func (l *simulatedLeader) send(now time.Time, engine *simulatedEngine) {
	l.view.Send(now, *l.pending)
	answer, answered := engine.order(now, *l.pending)
	if !answered {
		l.answeredAt = now.Add(300 * time.Millisecond)
		return
	}
	l.view.Complete(now, *l.pending, answer)
	l.pending = nil
}

// begin decides on the next order.
func (l *simulatedLeader) begin(now time.Time) {
	model := l.spec.Models[l.random.IntN(len(l.spec.Models))]
	held := slices.IndexFunc(l.view.LoadedModels(), func(m courier.LoadedModel) bool { return m.Name == model.Name })
	order := backoffice.Order{Kind: backoffice.Load, Model: model.Name}
	switch {
	case held < 0:
		if !l.view.IsOrderable() || l.view.Loading() != "" || l.view.UsedMegabytes()+model.Megabytes > l.spec.Megabytes {
			return
		}
	case l.random.Float64() < 0.05:
		if !l.view.IsOrderable() {
			return
		}
		order.Kind = backoffice.Unload
		l.view.Withdraw(model.Name)
	default:
		order.Adapter = fmt.Sprint("a", l.random.IntN(6))
		if slices.Contains(l.view.LoadedModels()[held].Adapters, order.Adapter) {
			order.Kind = backoffice.Unload
		}
		if !l.view.FitsAdapter(now, model.Name) && (order.Kind == backoffice.Load || !l.view.IsOrderable()) {
			return
		}
	}
	order = l.view.Begin(order)
	l.pending, l.sendAt = &order, now.Add(between(l.random, 0, maxLeaseWait))
}

var _ = Describe("An engine that leaves orders unanswered and carries them out late", func() {
	spec := &routes.Engine{Megabytes: 200, AdapterSlots: 3, Models: []routes.Model{
		{Name: "a", Megabytes: 65, AdapterMegabytes: 1},
		{Name: "b", Megabytes: 65, AdapterMegabytes: 1},
		{Name: "c", Megabytes: 65, AdapterMegabytes: 1},
		{Name: "d", Megabytes: 100, AdapterMegabytes: 1},
	}}

	// Guards against an order that was decided before another one took the memory or the adapter
	// slots that it needs.
	It("is never ordered to hold more than it has room for, whoever leads", func() {
		accepted := uint64(0)
		for seed := range uint64(simulatedSeeds) {
			random := rand.New(rand.NewPCG(seed, seed))
			engine := &simulatedEngine{random: random, spec: spec}
			now := time.Unix(1000, 0)
			end, leader := now.Add(simulatedTime), (*simulatedLeader)(nil)
			for ; now.Before(end); now = now.Add(simulationStep) {
				engine.step(now)
				if leader == nil || random.Float64() < 0.002 {
					leader = &simulatedLeader{random: random, spec: spec, view: backoffice.NewEngineOf(spec, 1)}
				}
				leader.step(now, engine)
			}
			Expect(engine.overcommitted).To(BeEmpty(), fmt.Sprint("seed ", seed))
			accepted += engine.report.Sequence
		}
		Expect(accepted).To(BeNumerically(">", 10*simulatedSeeds), "orders are carried out")
	})
})
