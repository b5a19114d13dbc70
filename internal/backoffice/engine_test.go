package backoffice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
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
