package backoffice_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// Streams that wait for a model at a version find no other engine of it.
var _ = DescribeTable("The withdrawal of a model for another is cancelled if streams wait for it",
	func(ctx SpecContext, boundTo, replacement string, beside []string, cancelled bool) {
		leader, now := newLoneLeader(ctx)
		isCancelled := func(waiting int) bool {
			leader.Add("pool", "e2", "v2").ApplyReport(now, reportOf("a", "b"))
			leader.Add("pool", "e3", "v1").ApplyReport(now, reportOf(beside...))
			e := leader.Add("pool", "e1", "v1")
			e.ApplyReport(now, reportOf("a"))
			e.WithdrawFor("a", replacement)
			leader.RecordDemand(now, courier.Demand{Service: "pool", Model: "a", Waiting: waiting, Software: resumption.BoundTo(boundTo)})
			return leader.CancelsWithdrawal(now, e)
		}
		Eventually(ctx, isCancelled).WithArguments(0).Should(BeFalse(), "none waits")
		Eventually(isCancelled).WithArguments(1).Should(Equal(cancelled))
	},
	Entry("at the version of its engine", SpecTimeout(specTimeout), "v1", "b", []string{"b"}, true),
	Entry("but not at another one", SpecTimeout(specTimeout), "v2", "b", []string{"b"}, false),
	Entry("nor if another engine of their version holds it", SpecTimeout(specTimeout), "v1", "b", []string{"a"}, false),
	Entry("nor if no engine holds the other model", SpecTimeout(specTimeout), "v1", "c", []string{"b"}, false),
)
