package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/retry"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var _ = Describe("Budget", func() {
	var budget *retry.Budget

	BeforeEach(func() {
		budget = retry.NewBudget(now, retry.Options{})
	})

	// The connection of a payment breaks after the request was sent. It may have run, so
	// another attempt could charge the card twice.
	DescribeTable("tries again only what did not run or is idempotent",
		func(o outcome.Outcome, idempotent bool, verdict retry.Verdict) {
			Expect(budget.Decide(now, retry.Attempt{Number: 1, Outcome: o, Idempotent: idempotent})).To(Equal(verdict))
		},
		Entry("not run", outcome.NotRun, false, retry.Again),
		Entry("unknown", outcome.Unknown, false, retry.MayHaveRun),
		Entry("ran", outcome.Ran, false, retry.MayHaveRun),
		Entry("not run, idempotent", outcome.NotRun, true, retry.Again),
		Entry("unknown, idempotent", outcome.Unknown, true, retry.Again),
		Entry("ran, idempotent", outcome.Ran, true, retry.Again),
	)

	DescribeTable("denies another attempt",
		func(a retry.Attempt, verdict retry.Verdict) {
			a.Idempotent = true
			Expect(budget.Decide(now, a)).To(Equal(verdict))
		},
		Entry("after a request that is itself a retry", retry.Attempt{Number: 1, IsRetry: true}, retry.AlreadyRetry),
		Entry("after the third attempt", retry.Attempt{Number: 3}, retry.AttemptsSpent),
		Entry("after the answer has begun", retry.Attempt{Number: 1, AnswerBegun: true}, retry.AnswerBegun),
		Entry("that can't end by the deadline",
			retry.Attempt{Number: 1, Deadline: now.Add(time.Second), MinDuration: 2 * time.Second}, retry.TooLate),
	)

	It("keeps half of the reserve from attempts that only confirm others", func() {
		confirmation := retry.Attempt{Number: 1, Idempotent: true, IsConfirmation: true}
		for range 5 {
			Expect(budget.Decide(now, confirmation)).To(Equal(retry.Again))
		}
		Expect(budget.Decide(now, confirmation)).To(Equal(retry.BudgetSpent))
		Expect(budget.Decide(now, retry.Attempt{Number: 1, Idempotent: true})).To(Equal(retry.Again))
	})

	It("bounds what a lasting fault adds to the load", func() {
		// All upstreams refuse for 10 s, at 100 requests a second. With three attempts for
		// each request, the load would triple. The budget allows 10 retries from the
		// reserve, 100 for the requests and 2 by the refill.
		retries := 0
		at := now
		for range 1000 {
			at = at.Add(10 * time.Millisecond)
			budget.AddRequest()
			for number := 1; budget.Decide(at, retry.Attempt{Number: number, Idempotent: true}) == retry.Again; number++ {
				retries++
			}
		}
		Expect(retries).To(BeNumerically(">=", 100))
		Expect(retries).To(BeNumerically("<=", 113))
	})

	It("is separate for each service", func() {
		budgets := retry.NewBudgets(retry.Options{Reserve: 1})
		failed := retry.Attempt{Number: 1, Idempotent: true}
		Expect(budgets.Get(now, "drafts").Decide(now, failed)).To(Equal(retry.Again))
		Expect(budgets.Get(now, "drafts").Decide(now, failed)).To(Equal(retry.BudgetSpent))
		Expect(budgets.Get(now, "pings").Decide(now, failed)).To(Equal(retry.Again))
		budgets.Retain(func(service string) bool { return service == "pings" })
		Expect(budgets.Get(now, "pings").Decide(now, failed)).To(Equal(retry.BudgetSpent))
		Expect(budgets.Get(now, "drafts").Decide(now, failed)).To(Equal(retry.Again))
	})
})
