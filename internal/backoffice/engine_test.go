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
			r.Models = append(r.Models, courier.LoadedModel{Name: model})
		}
		return r
	}

	// An engine that was ordered to unload a model first completes its streams, for
	// seconds. Meanwhile it lists the model but refuses requests for it. Entry instances
	// must not send requests there, which would use up the retry budget.
	It("leaves out a model until the engine has unloaded it", func() {
		now := time.Now()
		e := backoffice.NewEngine()
		e.ApplyReport(now, report(1, false, "a", "b"))
		Expect(e.AdvertisedModels()).To(ConsistOf("a", "b"))
		e.Withdraw("a")
		Expect(e.AdvertisedModels()).To(ConsistOf("b"))
		e.AcceptUnload("a", 1)
		e.ApplyReport(now, report(2, true, "a", "b"))
		Expect(e.AdvertisedModels()).To(ConsistOf("b"))
		e.ApplyReport(now, report(2, false, "b"))
		Expect(e.AdvertisedModels()).To(ConsistOf("b"))
		e.ApplyReport(now, report(3, false, "a", "b"))
		Expect(e.AdvertisedModels()).To(ConsistOf("a", "b"), "the model was loaded again")
	})

	It("takes no report from before an order for what the engine holds after it", func() {
		now := time.Now()
		e := backoffice.NewEngine()
		e.ApplyReport(now, report(4, false, "a", "b"))
		e.AcceptUnload("a", 4)
		e.ApplyReport(now, report(4, false, "a", "b"))
		Expect(e.AdvertisedModels()).To(ConsistOf("b"))
	})

	// Guards against exceeding an engine's memory: an unanswered load is carried out while
	// the next load, decided without it, waits for the lease.
	It("gets no order by a later state than the one for which it was decided", func() {
		now := time.Now()
		e := backoffice.NewEngine()
		e.ApplyReport(now, report(4, false, "a"))
		e.SendUnanswered(now, backoffice.Order{Kind: backoffice.Load, Model: "b", ExpectedSequence: 4})
		order := e.Begin(backoffice.Order{Kind: backoffice.Load, Model: "c"})
		e.ApplyReport(now, report(5, false, "a", "b"))
		Expect(order.ExpectedSequence).To(BeEquivalentTo(4))
	})

	// Guards against copies at an engine whose announcement of its leave has not arrived.
	It("says that it leaves once a report of its process says so", func() {
		now := time.Now()
		e := backoffice.NewEngineOf(&routes.Engine{}, 2)
		e.ApplyReport(now, backoffice.Report{Incarnation: 1, Leaving: true})
		Expect(e.IsLeaving()).To(BeFalse(), "the report is of the process before")
		e.ApplyReport(now, backoffice.Report{Incarnation: 2, Leaving: true})
		Expect(e.IsLeaving()).To(BeTrue())
	})

	// After an order without an answer, a report is due at once. If that makes the last
	// report look as if it had never arrived, the load of the engine is NaN at the entry
	// instances.
	It("is as old as its last report when the next one is due at once", func() {
		now := time.Now()
		e := backoffice.NewEngine()
		e.ApplyReport(now, report(1, false, "a"))
		e.MarkStale()
		Expect(e.ReportDue(now, 12, 1)).To(BeTrue())
		Expect(e.ReportedAt()).To(Equal(now))
	})

	// A model with rising demand waits until the engine has unloaded another one, and
	// callers wait for the load. Each completion that is noticed half a second late
	// causes half a second of refusals.
	It("is polled more often while the engine loads", func() {
		now := time.Now()
		e := backoffice.NewEngine()
		e.ApplyReport(now, report(1, false, "a"))
		soon := now.Add(200 * time.Millisecond)
		Expect(e.ReportDue(soon, 12, 2)).To(BeFalse())
		e.AcceptLoad("b", 1)
		Expect(e.ReportDue(soon, 12, 2)).To(BeTrue())
		e.ApplyReport(soon, report(2, false, "a", "b"))
		Expect(e.ReportDue(soon.Add(200*time.Millisecond), 12, 2)).To(BeFalse())
	})

	// If 140 engines are polled as often as 12, the leader is replaced every other second,
	// and no adapters are loaded.
	It("is polled less often among many engines", func() {
		now := time.Now()
		e := backoffice.NewEngine()
		e.ApplyReport(now, report(1, false, "a"))
		Expect(e.ReportDue(now.Add(time.Second), 140, 30)).To(BeFalse())
		Expect(e.ReportDue(now.Add(1500*time.Millisecond), 140, 30)).To(BeTrue())
		e.AcceptLoad("b", 1)
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
	reportFrom := func(incarnation, sequence uint64, models ...string) backoffice.Report {
		r := backoffice.Report{Incarnation: incarnation, Sequence: sequence}
		for _, model := range models {
			r.Models = append(r.Models, courier.LoadedModel{Name: model})
		}
		return r
	}

	// A report that is under way when the engine crashes can arrive after the
	// announcement of its successor. If it was used, entry instances would send requests
	// for models that the successor does not hold.
	It("is not told of by a report of the one before", func() {
		first := backoffice.NewEngineOf(spec, 1)
		first.ApplyReport(now, reportFrom(1, 5, "a", "b"))
		second := first.Restart(now, 2)
		second.ApplyReport(now, reportFrom(1, 6, "a", "b"))
		Expect(second.AdvertisedModels()).To(BeEmpty())
		second.ApplyReport(now, reportFrom(2, 0))
		Expect(second.HasReport()).To(BeTrue())
		second.ApplyReport(now, reportFrom(1, 7, "a"))
		Expect(second.AdvertisedModels()).To(BeEmpty())
	})

	It("takes nothing as held once a report comes of the one after it", func() {
		e := backoffice.NewEngineOf(spec, 1)
		e.ApplyReport(now, reportFrom(1, 5, "a", "b"))
		e.ApplyReport(now, reportFrom(2, 0))
		Expect(e.HasReport()).To(BeFalse(), "no order may be sent before the successor has announced itself")
		Expect(e.AdvertisedModels()).To(BeEmpty())
	})

	// An order to load a model is not answered. The engine crashes, restarts under the
	// same name and loads two other models. When the order then arrives at an equal
	// sequence number, the engine carries it out, exceeds its memory and crashes with all
	// its streams.
	It("keeps room for an order to the one before until its count has passed it", func() {
		first := backoffice.NewEngineOf(spec, 1)
		first.ApplyReport(now, reportFrom(1, 1, "a"))
		first.SendUnanswered(now, backoffice.Order{Kind: backoffice.Load, Model: "c", ExpectedSequence: 1})
		Expect(first.UsedMegabytes()).To(Equal(70.0), "within one process, the sequence number alone makes a late order harmless")
		second := first.Restart(now, 2)
		second.ApplyReport(now, reportFrom(2, 0, "a"))
		Expect(second.UsedMegabytes()).To(Equal(140.0))
		second.ApplyReport(now, reportFrom(2, 1, "a", "b"))
		Expect(second.UsedMegabytes()).To(Equal(210.0), "the memory is full")
		second.ApplyReport(now, reportFrom(2, 2, "a", "b"))
		Expect(second.UsedMegabytes()).To(Equal(140.0))
	})

	// The leader forgot the order together with the engine when its lease ended, and placed two other
	// models on its successor.
	It("keeps room for an order to the one before also after the lease of that one has ended", func() {
		first := backoffice.NewEngineOf(spec, 1)
		first.ApplyReport(now, reportFrom(1, 1, "a"))
		first.SendUnanswered(now, backoffice.Order{Kind: backoffice.Load, Model: "c", ExpectedSequence: 1})
		gone, later := now.Add(3*time.Second), now.Add(5*time.Second)
		second := first.RestartAfterLease(gone, later, 2)
		second.ApplyReport(later, reportFrom(2, 0, "a"))
		Expect(second.UsedMegabytes()).To(Equal(140.0))
		same := first.RestartAfterLease(gone, later, 1)
		same.ApplyReport(later, reportFrom(1, 1, "a"))
		Expect(same.UsedMegabytes()).To(Equal(70.0), "the same process is heard from again")
		muchLater := now.Add(time.Minute)
		third := first.RestartAfterLease(gone, muchLater, 2)
		third.ApplyReport(muchLater, reportFrom(2, 0, "a"))
		Expect(third.UsedMegabytes()).To(Equal(70.0), "the order can no longer arrive")
	})

	It("keeps room for an order that is on its way when the engine crashes, for some time", func() {
		first := backoffice.NewEngineOf(spec, 1)
		first.ApplyReport(now, reportFrom(1, 3, "a"))
		first.Send(now, backoffice.Order{Kind: backoffice.Load, Model: "a", Adapter: "x", ExpectedSequence: 3})
		second := first.Restart(now, 2)
		second.ApplyReport(now, reportFrom(2, 0, "a"))
		Expect(second.UsedAdapterSlots()).To(Equal(1))
		second.ApplyReport(now.Add(time.Minute), reportFrom(2, 0, "a"))
		Expect(second.UsedAdapterSlots()).To(BeZero())
	})
})
