package backoffice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/stocking"
)

var _ = DescribeTable("The last copies at each version are kept for as long as streams may be resumed",
	func(resumable bool, service string, kept time.Duration, versions ...string) {
		table, err := routes.New(routes.Draft{
			Version: 1, Services: []routes.Service{{Name: "pool"}, {Name: "desk"}},
			Routes: []routes.Route{{
				Name: "r", Host: "h", Prefix: "/", Kind: routes.Stream, Resumable: resumable, Timeout: 20 * time.Second, MaxAttempts: 1,
				Shares: []routes.Share{{Service: "pool", Weight: 1}},
			}},
		})
		Expect(err).NotTo(HaveOccurred())
		var update resumption.RecordsUpdate
		for _, version := range versions {
			for _, of := range []string{"pool", "desk"} {
				update.Added = append(update.Added, resumption.ServiceVersion{Service: of, Version: version})
			}
		}
		Expect(backoffice.KeptTimeout(table, resumption.Records{}.With(update), service)).To(Equal(kept))
	},
	Entry("of several versions", true, "pool", 20*time.Second, "v1", "v2"),
	Entry("but not of the only one", true, "pool", time.Duration(0), "v1"),
	Entry("nor of a service whose streams are not resumed", true, "desk", time.Duration(0), "v1", "v2"),
	Entry("nor if no streams are", false, "pool", time.Duration(0), "v1", "v2"),
)

var _ = Describe("Requests that are bound to a version", func() {
	It("are counted apart while engines of several versions are there, until they are no longer reported", func() {
		now := time.Unix(1000, 0)
		reported := backoffice.NewReported()
		for entry, waiting := range map[string]int{"a": 3, "b": 2} {
			reported.RecordDemand(now, entry,
				courier.Demand{Service: "pool", Model: "m", Requests: 1, Waiting: 7},
				courier.Demand{Service: "pool", Model: "m", Waiting: waiting, Software: resumption.BoundTo("v1")})
		}
		Expect(reported.BoundTo(now, "pool", "m", "v1").Waiting).To(Equal(5), "as all others")
		several := reported.BoundTo(now, "pool", "m", "v1", "v2")
		Expect(several.Waiting).To(BeZero())
		Expect(several.Bound).To(Equal([]stocking.BoundWaiting{{SoftwareVersion: "v1", Waiting: 5}}))
		Expect(reported.BoundTo(now.Add(2*time.Second), "pool", "m", "v1", "v2").Bound).To(BeEmpty())
		reported.RecordDemand(now.Add(3*time.Second), "a", courier.Demand{Service: "pool", Model: "m", Waiting: 1, Software: resumption.BoundTo("v1")})
		Expect(reported.BoundTo(now.Add(3*time.Second), "pool", "m", "v1", "v2").Bound).
			To(Equal([]stocking.BoundWaiting{{SoftwareVersion: "v1", Waiting: 1}}), "none has waited in between")
	})

	// Their model would be ordered again elsewhere.
	It("expect the load from the decision until a report shows that it is over", func() {
		now := time.Unix(1000, 0)
		e := backoffice.NewEngineOf(&routes.Engine{Megabytes: 200_000, Models: []routes.Model{{Name: "m", Megabytes: 70_000}}}, 1)
		e.ApplyReport(now, backoffice.Report{Incarnation: 1})
		unanswered := e.Begin(backoffice.Order{Kind: backoffice.Load, Model: "m"})
		Expect(e.Expected()).To(Equal("m"))
		e.ApplyReport(now, backoffice.Report{Incarnation: 1})
		Expect(e.Expected()).To(Equal("m"), "the report is older than the order")
		e.CompleteUnanswered(now, unanswered)
		e.ApplyReport(now, backoffice.Report{Incarnation: 1, Sequence: 1, Busy: true})
		Expect(e.Expected()).To(Equal("m"))
		e.ApplyReport(now, backoffice.Report{Incarnation: 1, Sequence: 1})
		Expect(e.Expected()).To(BeEmpty())
		refused := e.Begin(backoffice.Order{Kind: backoffice.Load, Model: "m"})
		e.Complete(now, refused, backoffice.Refused)
		Expect(e.Expected()).To(BeEmpty())
	})
})
