package backoffice_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// resumableTable returns the routes of encodedRoutes with streams that may be resumed for some time.
func resumableTable(timeout time.Duration) *routes.Table {
	GinkgoHelper()
	var draft routes.Draft
	Expect(json.Unmarshal(encodedRoutes(1), &draft)).To(Succeed())
	draft.Routes = []routes.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: routes.Stream, Resumable: true, Timeout: timeout, MaxAttempts: 1,
		Shares: []routes.Share{{Service: "pool", Weight: 1}},
	}}
	table, err := routes.New(draft)
	Expect(err).NotTo(HaveOccurred())
	return table
}

var _ = Describe("The last copy of a model at a version", func() {
	// Streams that began there would find no engine.
	It("makes no room for copies of a busy model while streams may be resumed", func(ctx SpecContext) {
		const timeout = 20 * time.Second
		instance, table := newLone(ctx), resumableTable(timeout)
		requested := time.Now()
		withdrawnAfter := func(pause time.Duration) []string {
			leader, now := instance.NewLeader(table), requested.Add(pause)
			for _, name := range []string{"a", "b"} {
				leader.RecordDemand(requested, courier.Demand{Service: "pool", Model: name, Requests: 1})
			}
			leader.RecordDemand(now, courier.Demand{Service: "pool", Model: "c", Requests: 1, Answering: 9 * time.Second})
			leader.Add("pool", "e1", "v1").ApplyReport(now, reportOf("a", "b"))
			leader.Add("pool", "e2", "v2").ApplyReport(now, reportOf("a", "b"))
			leader.Add("pool", "e3", "v2").ApplyReport(now, reportOf("a", "b"))
			leader.Add("pool", "e4", "v2").ApplyReport(now, reportOf("c"))
			return leader.Place(now)
		}
		announce := func(name, version string) {
			Expect(instance.Announce(time.Now(), upstreamapi.Announcement{
				Name: name, Incarnation: 1, Sequence: 1, Address: "127.0.0.1:9", Services: []string{"pool"}, SoftwareVersion: version,
			})).To(Succeed())
		}
		announce("e1", "v1")
		Eventually(ctx, withdrawnAfter).WithArguments(time.Duration(0)).Should(ConsistOf("e1 a"), "no other version is recorded")
		announce("e2", "v2")
		Eventually(withdrawnAfter).WithArguments(timeout - 1).WithTimeout(5 * time.Second).Should(ConsistOf("e2 a"))
		Eventually(withdrawnAfter).WithArguments(timeout).Should(ConsistOf("e1 a"))
	}, SpecTimeout(specTimeout))
})
