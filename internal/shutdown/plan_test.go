package shutdown_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/shutdown"
)

func TestShutdown(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shutdown")
}

var _ = Describe("Plan", func() {
	now := time.Unix(1000, 0)
	late := now.Add(time.Hour)

	It("lets requests start until their deadline while no end is planned", func() {
		plan := shutdown.New[string]()
		Expect(plan.LatestStart("seats", late)).To(Equal(late))
		Expect(plan.EndsWithin(now, time.Hour)).To(BeFalse())
	})

	It("lets a request start whose deadline is before the end, whatever it takes", func() {
		plan := shutdown.New[string]()
		plan.Begin(now, 0, time.Minute)
		deadline := now.Add(time.Minute)
		Expect(plan.LatestStart("seats", deadline)).To(Equal(deadline))
	})

	It("lets others start as long as requests like them have ended in time", func() {
		plan := shutdown.New[string]()
		plan.Begin(now, 0, time.Minute)
		Expect(plan.LatestStart("seats", late)).To(BeZero())
		for range 100 {
			plan.Observe("seats", 10*time.Second)
		}
		Expect(plan.LatestStart("seats", late)).To(BeTemporally("~", now.Add(50*time.Second), time.Second))
		Expect(plan.EndsWithin(now.Add(50*time.Second), 9*time.Second)).To(BeFalse())
		Expect(plan.EndsWithin(now.Add(50*time.Second), 10*time.Second)).To(BeTrue())
	})

	It("ends the contexts of requests with its cause", func(ctx SpecContext) {
		plan := shutdown.New[string]()
		running, cancel := plan.WithEnd(ctx, time.Minute)
		defer cancel()
		canceled, cancelFirst := plan.WithEnd(ctx, time.Minute)
		cancelFirst()
		plan.Begin(now, 0, time.Millisecond)
		Eventually(ctx, running.Done()).Should(BeClosed())
		Expect(shutdown.IsStopped(running)).To(BeTrue())
		Expect(shutdown.IsStopped(canceled)).To(BeFalse())
		Expect(context.Cause(canceled)).To(MatchError(context.Canceled))
		Expect(plan.HasEnded()).To(BeTrue())
	}, SpecTimeout(10*time.Second))
})
