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
	schedule := shutdown.Schedule{AnswersEnd: time.Minute, BegunEnd: 2 * time.Minute}
	It("lets requests start until their deadline while no shutdown has begun", func() {
		plan := shutdown.New[string]()
		Expect(plan.LatestStart("seats", late)).To(Equal(late))
		Expect(plan.EndsWithin(now, time.Hour)).To(BeFalse())
	})

	It("lets requests start until their deadline if the shutdown ends none", func() {
		plan := shutdown.New[string]()
		plan.Begin(now, 0, shutdown.Schedule{})
		Expect(plan.LatestStart("seats", late)).To(Equal(late))
		Expect(plan.EndsWithin(late, time.Hour)).To(BeFalse())
	})

	It("lets a request start whose deadline is before the end, whatever it takes", func() {
		plan := shutdown.New[string]()
		plan.Begin(now, 0, schedule)
		deadline := now.Add(time.Minute)
		Expect(plan.LatestStart("seats", deadline)).To(Equal(deadline))
	})

	It("lets others start as long as requests like them have ended in time", func() {
		plan := shutdown.New[string]()
		plan.Begin(now, 0, schedule)
		Expect(plan.LatestStart("seats", late)).To(BeZero())
		for range 100 {
			plan.Observe("seats", 10*time.Second)
		}
		Expect(plan.LatestStart("seats", late)).To(BeTemporally("~", now.Add(50*time.Second), time.Second))
		Expect(plan.EndsWithin(now.Add(110*time.Second), 9*time.Second)).To(BeFalse())
		Expect(plan.EndsWithin(now.Add(110*time.Second), 10*time.Second)).To(BeTrue())
	})
})

var _ = Describe("Run", func() {
	now := time.Unix(1000, 0)

	It("ends with the cause of its Plan unless its request has ended", func(ctx SpecContext) {
		plan := shutdown.New[string]()
		running, ended := plan.Start(ctx, time.Minute), plan.Start(ctx, time.Minute)
		defer running.End()
		ended.End()
		plan.Begin(now, 0, shutdown.Schedule{AnswersEnd: time.Millisecond, BegunEnd: time.Hour})
		Eventually(ctx, running.Context().Done()).Should(BeClosed())
		Expect(shutdown.IsStopped(running.Context())).To(BeTrue())
		Expect(running.BeginResponse()).To(BeFalse())
		Expect(shutdown.IsStopped(ended.Context())).To(BeFalse())
		Expect(context.Cause(ended.Context())).To(MatchError(context.Canceled))
	}, SpecTimeout(10*time.Second))

	// Responses that had begun were cut while time was left.
	It("goes on after a response has begun until those are ended", func(ctx SpecContext) {
		plan := shutdown.New[string]()
		begun, waiting := plan.Start(ctx, time.Minute), plan.Start(ctx, time.Minute)
		defer begun.End()
		defer waiting.End()
		Expect(begun.BeginResponse()).To(BeTrue())
		plan.Begin(now, 0, shutdown.Schedule{AnswersEnd: time.Millisecond, BegunEnd: 200 * time.Millisecond})
		Eventually(ctx, waiting.Context().Done()).Should(BeClosed())
		Expect(begun.Context().Err()).NotTo(HaveOccurred())
		Eventually(ctx, begun.Context().Done()).Should(BeClosed())
		Expect(shutdown.IsStopped(begun.Context())).To(BeTrue())
	}, SpecTimeout(10*time.Second))
})
