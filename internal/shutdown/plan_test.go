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
	schedule := shutdown.Schedule{TakeUntil: 10 * time.Second, AnswersEnd: time.Minute, BegunEnd: 2 * time.Minute, CutFrom: 110 * time.Second}
	// observe records requests that take 10 s.
	observe := func(plan *shutdown.Plan[string]) {
		for range 100 {
			plan.Observe("seats", 10*time.Second)
		}
	}
	request := func(received time.Duration) shutdown.Request[string] {
		return shutdown.Request[string]{Key: "seats", Received: now.Add(received), Deadline: late}
	}
	stream := func(received time.Duration) shutdown.Request[string] {
		r := request(received)
		r.IsStream = true
		return r
	}

	It("lets requests start until their deadline while no shutdown has begun", func() {
		plan := shutdown.New[string]()
		Expect(plan.LatestStart(request(0))).To(Equal(late))
		Expect(plan.CutsStreams(late)).To(BeFalse())
	})

	It("lets requests start until their deadline if the shutdown ends none", func() {
		plan := shutdown.New[string]()
		plan.Begin(now, now, 0, shutdown.Schedule{})
		Expect(plan.LatestStart(stream(time.Minute))).To(Equal(late))
		Expect(plan.CutsStreams(late)).To(BeFalse())
	})

	It("lets a request start whose deadline is before the end, whatever it takes", func() {
		plan := shutdown.New[string]()
		plan.Begin(now, now, 0, schedule)
		r := request(time.Second)
		r.Deadline = now.Add(time.Minute)
		Expect(plan.LatestStart(r)).To(Equal(r.Deadline))
		r = stream(20 * time.Second)
		r.Deadline = now.Add(2 * time.Minute)
		Expect(plan.LatestStart(r)).To(Equal(r.Deadline))
	})

	It("lets others start as long as requests like them have ended in time", func() {
		plan := shutdown.New[string]()
		plan.Begin(now, now, 0, schedule)
		Expect(plan.LatestStart(request(0))).To(BeZero())
		observe(plan)
		Expect(plan.LatestStart(request(0))).To(BeTemporally("~", now.Add(50*time.Second), time.Second))
		Expect(plan.CutsStreams(now.Add(109 * time.Second))).To(BeFalse())
		Expect(plan.CutsStreams(now.Add(110 * time.Second))).To(BeTrue())
	})

	It("lets a stream start that may last until the end, unless streams like it usually do", func() {
		plan := shutdown.New[string]()
		plan.Begin(now, now, 0, schedule)
		Expect(plan.LatestStart(stream(10 * time.Second))).To(Equal(now.Add(2 * time.Minute)))
		observe(plan)
		Expect(plan.LatestStart(stream(10 * time.Second))).To(BeTemporally("~", now.Add(110*time.Second), time.Second))
	})

	// Others like it had been short.
	It("does not let a request start that is received too late to last until the end", func() {
		plan := shutdown.New[string]()
		plan.Begin(now, now, 0, schedule)
		observe(plan)
		Expect(plan.LatestStart(stream(10*time.Second + 1))).To(BeZero())
		Expect(plan.LatestStart(request(10*time.Second + 1))).To(BeZero())
	})
})

var _ = Describe("Run", func() {
	now := time.Unix(1000, 0)

	It("ends with the cause of its Plan unless its request has ended", func(ctx SpecContext) {
		plan := shutdown.New[string]()
		running, ended := plan.Start(ctx, time.Minute), plan.Start(ctx, time.Minute)
		defer running.End()
		ended.End()
		plan.Begin(now, now, 0, shutdown.Schedule{AnswersEnd: time.Millisecond, BegunEnd: time.Hour})
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
		plan.Begin(now, now, 0, shutdown.Schedule{AnswersEnd: time.Millisecond, BegunEnd: 200 * time.Millisecond})
		Eventually(ctx, waiting.Context().Done()).Should(BeClosed())
		Expect(begun.Context().Err()).NotTo(HaveOccurred())
		Eventually(ctx, begun.Context().Done()).Should(BeClosed())
		Expect(shutdown.IsStopped(begun.Context())).To(BeTrue())
	}, SpecTimeout(10*time.Second))
})
