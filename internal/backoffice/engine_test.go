package backoffice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/routes"
)

var _ = Describe("What is told of an engine", func() {
	report := func(sequence uint64, busy bool, models ...string) backoffice.Report {
		r := backoffice.Report{Sequence: sequence, Busy: busy}
		for _, model := range models {
			r.Models = append(r.Models, courier.HeldModel{Name: model})
		}
		return r
	}

	// An engine that was ordered to unload a model waits for its streams, for
	// seconds. It lists the model meanwhile and refuses every request for it. Entry
	// instances that were told of it would send there, and spend the budget of
	// retries on refusals.
	It("leaves out a model until the engine has unloaded it", func() {
		now := time.Now()
		e := backoffice.NewEngine()
		e.Take(now, report(1, false, "a", "b"))
		Expect(e.Told()).To(ConsistOf("a", "b"))
		e.Go("a")
		Expect(e.Told()).To(ConsistOf("b"))
		e.Unload("a", 1)
		e.Take(now, report(2, true, "a", "b"))
		Expect(e.Told()).To(ConsistOf("b"))
		e.Take(now, report(2, false, "b"))
		Expect(e.Told()).To(ConsistOf("b"))
		e.Take(now, report(3, false, "a", "b"))
		Expect(e.Told()).To(ConsistOf("a", "b"), "it was loaded again")
	})

	It("takes no report from before an order for what the engine holds after it", func() {
		now := time.Now()
		e := backoffice.NewEngine()
		e.Take(now, report(4, false, "a", "b"))
		e.Unload("a", 4)
		e.Take(now, report(4, false, "a", "b"))
		Expect(e.Told()).To(ConsistOf("b"))
	})

	// An order got no answer, so that a report is due at once. Told as one that never came,
	// the report before made the load of the engine no number at entry instances.
	It("is as old as its last report when the next one is due at once", func() {
		now := time.Now()
		e := backoffice.NewEngine()
		e.Take(now, report(1, false, "a"))
		e.Doubt()
		Expect(e.ReportDue(now, 12, 1)).To(BeTrue())
		Expect(e.ReportedAt()).To(Equal(now))
	})

	// Demand has moved on. The model that rises waits for the engine to unload the one
	// that fell silent, and callers wait for the load: each end that is seen half a
	// second late is half a second of refusals.
	It("is asked for more often while the engine loads", func() {
		now := time.Now()
		e := backoffice.NewEngine()
		e.Take(now, report(1, false, "a"))
		soon := now.Add(200 * time.Millisecond)
		Expect(e.ReportDue(soon, 12, 2)).To(BeFalse())
		e.Load("b", 1)
		Expect(e.ReportDue(soon, 12, 2)).To(BeTrue())
		e.Take(soon, report(2, false, "a", "b"))
		Expect(e.ReportDue(soon.Add(200*time.Millisecond), 12, 2)).To(BeFalse())
	})

	// A hundred and forty engines that were asked as often as twelve left the leader no
	// time to lead: it was replaced every other second, and nobody loaded adapters.
	It("is asked for less often among many engines", func() {
		now := time.Now()
		e := backoffice.NewEngine()
		e.Take(now, report(1, false, "a"))
		Expect(e.ReportDue(now.Add(time.Second), 140, 30)).To(BeFalse())
		Expect(e.ReportDue(now.Add(1500*time.Millisecond), 140, 30)).To(BeTrue())
		e.Load("b", 1)
		Expect(e.ReportDue(now.Add(200*time.Millisecond), 140, 30)).To(BeFalse())
		Expect(e.ReportDue(now.Add(400*time.Millisecond), 140, 30)).To(BeTrue())
	})
})

var _ = Describe("An engine that starts again under its name", func() {
	spec := &routes.Engine{Megabytes: 200, AdapterSlots: 2, Models: []routes.Model{
		{Name: "a", Megabytes: 70, AdapterMegabytes: 1},
		{Name: "b", Megabytes: 70, AdapterMegabytes: 1},
		{Name: "c", Megabytes: 70, AdapterMegabytes: 1},
	}}
	now := time.Now()
	holding := func(incarnation, sequence uint64, models ...string) backoffice.Report {
		r := backoffice.Report{Incarnation: incarnation, Sequence: sequence}
		for _, model := range models {
			r.Models = append(r.Models, courier.HeldModel{Name: model})
		}
		return r
	}

	// A report that was on its way when the engine crashed comes after the announcement
	// of the new one. Told on, it would draw requests for models that are not there.
	It("is not told of by a report of the one before", func() {
		first := backoffice.NewEngineOf(spec, 1)
		first.Take(now, holding(1, 5, "a", "b"))
		second := first.Restart(now, 2)
		second.Take(now, holding(1, 6, "a", "b"))
		Expect(second.Told()).To(BeEmpty())
		second.Take(now, holding(2, 0))
		Expect(second.Known()).To(BeTrue())
		second.Take(now, holding(1, 7, "a"))
		Expect(second.Told()).To(BeEmpty())
	})

	It("takes nothing as held once a report comes of the one after it", func() {
		e := backoffice.NewEngineOf(spec, 1)
		e.Take(now, holding(1, 5, "a", "b"))
		e.Take(now, holding(2, 0))
		Expect(e.Known()).To(BeFalse(), "no order may go there before it has announced itself")
		Expect(e.Told()).To(BeEmpty())
	})

	// An order to load is left unanswered, the engine crashes, starts again under its
	// name and is given two other models. The order arrives: at a count of orders that
	// is the same again, it is carried out, the engine takes more than its memory and
	// crashes with all its streams.
	It("keeps room for an order to the one before until its count has passed it", func() {
		first := backoffice.NewEngineOf(spec, 1)
		first.Take(now, holding(1, 1, "a"))
		first.SendUnanswered(now, backoffice.Order{Kind: backoffice.Load, Model: "c", Expected: 1})
		Expect(first.Megabytes()).To(Equal(70.0), "the count alone keeps a late order from harm here")
		second := first.Restart(now, 2)
		second.Take(now, holding(2, 0, "a"))
		Expect(second.Megabytes()).To(Equal(140.0))
		second.Take(now, holding(2, 1, "a", "b"))
		Expect(second.Megabytes()).To(Equal(210.0), "nothing else fits")
		second.Take(now, holding(2, 2, "a", "b"))
		Expect(second.Megabytes()).To(Equal(140.0))
	})

	It("keeps room for an order that is on its way when the engine crashes, for some time", func() {
		first := backoffice.NewEngineOf(spec, 1)
		first.Take(now, holding(1, 3, "a"))
		first.Send(now, backoffice.Order{Kind: backoffice.Load, Model: "a", Adapter: "x", Expected: 3})
		second := first.Restart(now, 2)
		second.Take(now, holding(2, 0, "a"))
		Expect(second.Adapters()).To(Equal(1))
		second.Take(now.Add(time.Minute), holding(2, 0, "a"))
		Expect(second.Adapters()).To(BeZero())
	})
})
