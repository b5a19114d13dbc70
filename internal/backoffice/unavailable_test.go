package backoffice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// reportOf returns a report of an engine that holds some models.
func reportOf(models ...string) (report backoffice.Report) {
	for _, model := range models {
		report.Models = append(report.Models, courier.LoadedModel{Name: model})
	}
	return report
}

var _ = Describe("A stream whose version no engine can load the model for in time", func() {
	const inTime = "in time"
	// The load of a model takes a second.
	soon := courier.WantArgs{Service: "pool", Model: "a", Software: resumption.BoundTo("v1"), Remaining: 500 * time.Millisecond}

	// The engines that the leader lacks may hold the model.
	It("waits while the leader may lack engines that other instances know", func(ctx SpecContext) {
		leader, now := newLoneLeader(ctx)
		leader.Add("pool", "e1", "v1").ApplyReport(now, reportOf())
		leader.Add("pool", "e2", "v2").ApplyReport(now, reportOf("a"))
		Expect(leader.UnavailableReason(now.Add(-loneLease/2), soon)).To(BeEmpty())
		Expect(leader.UnavailableReason(now, soon)).To(HaveSuffix(inTime))
	}, SpecTimeout(specTimeout))

	DescribeTable("waits only while an engine of the version may hold the model without the leader's knowledge",
		func(ctx SpecContext, version string, waits bool, change func(now time.Time, e backoffice.Engine)) {
			leader, now := newLoneLeader(ctx)
			leader.Add("pool", "e1", "v1").ApplyReport(now, reportOf())
			leader.Add("pool", "e2", "v2").ApplyReport(now, reportOf("a"))
			change(now, leader.Add("pool", "e3", version))
			if waits {
				Expect(leader.UnavailableReason(now, soon)).To(BeEmpty())
				return
			}
			Expect(leader.UnavailableReason(now, soon)).To(HaveSuffix(inTime))
		},
		Entry("as it has not reported yet", SpecTimeout(specTimeout), "v1", true, func(time.Time, backoffice.Engine) {}),
		Entry("as an order to it has failed", SpecTimeout(specTimeout), "v1", true, func(now time.Time, e backoffice.Engine) {
			e.ApplyReport(now, reportOf())
			e.MarkStale()
		}),
		Entry("as the withdrawal of the model may be cancelled", SpecTimeout(specTimeout), "v1", true, func(now time.Time, e backoffice.Engine) {
			e.ApplyReport(now, reportOf("a"))
			e.Withdraw("a")
		}),
		Entry("not as another model is withdrawn", SpecTimeout(specTimeout), "v1", false, func(now time.Time, e backoffice.Engine) {
			e.ApplyReport(now, reportOf("b"))
			e.Withdraw("b")
		}),
		Entry("not as one of another version has not reported yet", SpecTimeout(specTimeout), "v2", false, func(time.Time, backoffice.Engine) {}),
	)
})
