package backoffice_test

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// newHeldByLaterVersion returns a cluster in which an engine of v2 is the only one that holds model a, and one
// of v1 can hold it.
func newHeldByLaterVersion(ctx context.Context) *testCluster {
	GinkgoHelper()
	c := newTestCluster()
	c.fakes.add("e1", "b", "c")
	c.fakes.add("e2", "a", "c")
	c.putRoutes(ctx, c.seeds[0], 1)
	c.announceAt(ctx, "127.0.0.1:8", "e2", "v2")
	Eventually(ctx, c.wantFromLeader(ctx, "a", "")).Should(Equal("e2"))
	c.announceAt(ctx, "127.0.0.1:9", "e1", "v1")
	return c
}

var _ = Describe("Engines of several software versions", func() {
	// A stream that is resumed needs its adapter at the version that began it, even if an engine of
	// another one has loaded it.
	It("get an adapter for each version that needs it", func(ctx SpecContext) {
		c := newTestCluster()
		c.fakes.add("e1", "a")
		c.fakes.add("e2", "a")
		c.putRoutes(ctx, c.seeds[0], 1)
		c.announceVersion(ctx, "e1", "v1")
		c.announceVersion(ctx, "e2", "v2")
		for engine, version := range map[string]string{"e1": "v1", "e2": "v2"} {
			args := courier.WantArgs{Service: "pool", Model: "a", Adapter: "a1", Software: resumption.BoundTo(version), Timeout: time.Second}
			Eventually(ctx, c.want(ctx, args)).Should(Equal(engine))
		}
		args := courier.WantArgs{Service: "pool", Model: "a", Adapter: "a1", Software: resumption.BoundTo("v3"), Timeout: time.Second}
		Expect(c.want(ctx, args)()).To(BeEmpty())
	}, SpecTimeout(specTimeout))

	// The engines of v1 that held the model are gone. The plan must not take the copy of another version
	// for one at which a stream of v1 can go on.
	It("get a model for each version to which streams are bound", func(ctx SpecContext) {
		c := newHeldByLaterVersion(ctx)
		args := courier.WantArgs{Service: "pool", Model: "a", Software: resumption.BoundTo("v1"), Timeout: time.Second}
		Eventually(ctx, c.want(ctx, args)).WithTimeout(20 * time.Second).Should(Equal("e1"))
		Expect(c.fakes.holds("e1", "b")).To(BeTrue(), "the only copy of a model")
	}, SpecTimeout(specTimeout))

	// Entry instances report the requests that wait, also while no call for the model is under way.
	It("get a model for the streams that entry instances report as waiting", func(ctx SpecContext) {
		c := newHeldByLaterVersion(ctx)
		waiting := courier.Demand{Service: "pool", Model: "a", Waiting: 1, Software: resumption.BoundTo("v1")}
		Eventually(ctx, func() bool {
			c.syncWithLeader(ctx, waiting)
			return c.fakes.holds("e1", "a")
		}).WithTimeout(20 * time.Second).Should(BeTrue())
	}, SpecTimeout(specTimeout))

	// Each time that an engine was to make room, the streams at its version called that off.
	It("make room for a model that no engine holds, though streams are bound to the one that they hold", func(ctx SpecContext) {
		c := newTestCluster()
		for _, name := range []string{"e1", "e2"} {
			c.fakes.add(name, "b")
			c.fakes.engines[name].models["b"] = make([]string, 1300)
		}
		c.putRoutes(ctx, c.seeds[0], 1)
		c.announceAt(ctx, "127.0.0.1:9", "e1", "v1")
		c.announceAt(ctx, "127.0.0.1:8", "e2", "v2")
		waiting := []courier.Demand{
			{Service: "pool", Model: "a", Requests: 1, Waiting: 1},
			{Service: "pool", Model: "b", Waiting: 1, Software: resumption.BoundTo("v1")},
		}
		Eventually(ctx, func() bool {
			c.syncWithLeader(ctx, waiting...)
			return c.fakes.holds("e1", "a") || c.fakes.holds("e2", "a")
		}).WithTimeout(15 * time.Second).Should(BeTrue())
	}, SpecTimeout(specTimeout))

	DescribeTable("are not waited for if none can hold the model in time",
		func(ctx SpecContext, args courier.WantArgs, reason string) {
			c := newHeldByLaterVersion(ctx)
			Eventually(ctx, func() bool {
				reply, ok := c.syncWithLeader(ctx)
				return ok && !reply.RosterIncomplete
			}).Should(BeTrue())
			args.Service, args.Timeout = "pool", 5*time.Second
			Eventually(ctx, func() courier.WantReply {
				reply, _ := c.syncWithLeader(ctx)
				callCtx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				got, _ := c.calls.RequestModel(callCtx, reply.Leader, args)
				return got
			}).WithTimeout(20 * time.Second).Should(And(HaveField("Unavailable", true), HaveField("Reason", HaveSuffix(reason))))
		},
		Entry("none is of the version", SpecTimeout(specTimeout), courier.WantArgs{Model: "a", Software: resumption.BoundTo("v3")}, "can hold the model"),
		Entry("none of the version holds the model of an adapter", SpecTimeout(specTimeout), courier.WantArgs{Model: "a", Adapter: "a1", Software: resumption.BoundTo("v3")}, "can hold the model"),
		Entry("the load takes longer than callers wait", SpecTimeout(specTimeout), courier.WantArgs{Model: "a", Software: resumption.BoundTo("v1"), Remaining: 900 * time.Millisecond}, "in time"),
	)

	// All entry instances that know a stream may be gone when it is resumed.
	It("are found for the streams that entry instances have reported", func(ctx SpecContext) {
		c := newTestCluster()
		origin := resumption.Origin{Service: "pool", SoftwareVersion: "v2"}
		group := courier.StreamGroup{Origin: origin, Remaining: time.Minute, Streams: []resumption.StreamID{7, 8}}
		_, err := c.calls.Sync(ctx, c.seeds[1], courier.SyncArgs{Streams: []courier.StreamGroup{group}})
		Expect(err).NotTo(HaveOccurred())
		reply, err := c.calls.StreamOrigin(ctx, c.seeds[1], courier.OriginArgs{Stream: 8})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply).To(Equal(courier.OriginReply{Known: true, Origin: origin}))
		reply, err = c.calls.StreamOrigin(ctx, c.seeds[1], courier.OriginArgs{Stream: 9})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Known).To(BeFalse())
	}, SpecTimeout(specTimeout))
})

// recordTwo waits until v1 and v2 are recorded. It returns a function that keeps v2 in use and returns the recorded
// versions, as confirmedVersions does.
func (c *testCluster) recordTwo(ctx context.Context) (recorded func() []string) {
	GinkgoHelper()
	c.announceOnce("e1", "v1")
	recorded = func() []string {
		c.announceOnce("e2", "v2")
		return c.confirmedVersions(ctx)
	}
	Eventually(ctx, recorded).Should(Equal([]string{"v1", "v2"}))
	return recorded
}

// confirmedVersions returns the recorded versions according to a reply that is confirmed, nil if there is none.
func (c *testCluster) confirmedVersions(ctx context.Context) (versions []string) {
	reply, ok := c.syncWithLeader(ctx)
	if !ok || !reply.Reading.Confirmed || reply.Versions == nil {
		return nil
	}
	for _, version := range reply.Versions.Versions {
		versions = append(versions, version.Version)
	}
	return versions
}

// settledRoutes returns the digest of the routes that are recorded as settled, 0 if there are none.
func (c *testCluster) settledRoutes(ctx context.Context) uint64 {
	if reply, ok := c.syncWithLeader(ctx); ok && reply.Versions != nil {
		return reply.Versions.SettledRoutes
	}
	return 0
}

// announceOnce announces an engine of a software version to every instance.
func (c *testCluster) announceOnce(name, version string) {
	c.announceServices(name, version, "pool")
}

// announceServices is announceOnce for some services.
func (c *testCluster) announceServices(name, version string, services ...string) {
	for _, address := range c.seeds {
		// An announcement that is lost is repeated.
		_ = c.instances[address].Announce(time.Now(), upstreamapi.Announcement{
			Name: name, Incarnation: 1, Sequence: uint64(time.Now().UnixNano()), Address: "127.0.0.1:9", Services: services, SoftwareVersion: version,
		})
	}
}

// leadTo puts a version of the routes by which streams that may be resumed go to a service, and returns their
// digest.
func (c *testCluster) leadTo(ctx context.Context, version uint64, service string) (digest uint64) {
	GinkgoHelper()
	return c.leadToWithin(ctx, version, service, 500*time.Millisecond)
}

// leadToWithin is leadTo with a timeout of the route.
func (c *testCluster) leadToWithin(ctx context.Context, version uint64, service string, timeout time.Duration) (digest uint64) {
	GinkgoHelper()
	content, err := json.Marshal(routes.Draft{
		Version: version, Services: []routes.Service{{Name: "pool"}, {Name: "desk"}},
		Routes: []routes.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: routes.Stream, Resumable: true, Timeout: timeout, MaxAttempts: 1,
			Shares: []routes.Share{{Service: service, Weight: 1}},
		}},
	})
	Expect(err).NotTo(HaveOccurred())
	Eventually(ctx, func() error {
		_, err := c.instances[c.seeds[0]].PutRoutes(ctx, edition.Put{Version: version, Content: content})
		return err
	}).Should(Succeed())
	table, err := parseRoutes(content)
	Expect(err).NotTo(HaveOccurred())
	return table.ResumableDigest()
}

var _ = Describe("The software versions in use", func() {
	// Without, an entry instance could not tell an empty list from a control instance that keeps none.
	It("are told to an entry instance also before there is one", func(ctx SpecContext) {
		c := newTestCluster()
		for _, seed := range c.seeds {
			reply, err := c.calls.Sync(ctx, seed, courier.SyncArgs{})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Versions).To(Equal(&resumption.VersionList{}))
		}
	}, SpecTimeout(specTimeout))

	// Streams that began at a version may be resumed after a loss of power, when no upstream has it any more.
	It("are known after a loss of all control instances, also those whose upstreams are gone", func(ctx SpecContext) {
		c := newTestCluster()
		c.fakes.add("e1", "a")
		c.fakes.add("e2", "a")
		c.putRoutes(ctx, c.seeds[0], 1)
		recorded := c.recordTwo(ctx)
		c.leave(ctx, upstreamapi.Leave{Name: "e1"})
		c.loseAll(c.seeds...)
		Eventually(ctx, recorded).Should(Equal([]string{"v1", "v2"}))
		Eventually(ctx, recorded).Should(Equal([]string{"v2"}), "no stream of v1 is left")
	}, SpecTimeout(specTimeout))

	// A stream that began under a longer timeout may be resumed for longer than the routes in force tell.
	It("stay recorded as long as the timeouts at which streams began require", func(ctx SpecContext) {
		c := newTestCluster()
		c.fakes.add("e1", "a")
		c.fakes.add("e2", "a")
		first := c.leadToWithin(ctx, 1, "pool", 1500*time.Millisecond)
		Eventually(ctx, func() uint64 { return c.settledRoutes(ctx) }).Should(Equal(first), "the leader knows the routes")
		recorded := c.recordTwo(ctx)
		c.leave(ctx, upstreamapi.Leave{Name: "e1"})
		c.leadToWithin(ctx, 2, "pool", 100*time.Millisecond)
		const retention, retentionOfNewRoutes = 6 * time.Second, 3200 * time.Millisecond
		Consistently(ctx, recorded).WithTimeout((retention + retentionOfNewRoutes) / 2).WithPolling(100 * time.Millisecond).
			Should(Or(BeEmpty(), Equal([]string{"v1", "v2"})))
	}, SpecTimeout(specTimeout))

	// An instance that is cut off with an upstream begins streams at its version, of which nobody is told.
	It("stay recorded while an entry instance is missing", func(ctx SpecContext) {
		c := newTestCluster()
		c.fakes.add("e1", "a")
		c.fakes.add("e2", "a")
		first := c.leadToWithin(ctx, 1, "pool", 100*time.Millisecond)
		Eventually(ctx, func() uint64 { return c.settledRoutes(ctx) }).Should(Equal(first), "the leader knows the routes")
		recorded := c.recordTwo(ctx)
		entry := roster.InstanceRecord{
			Name: "127.0.0.1:8", Incarnation: 1, Sequence: 1, Static: &roster.InstanceStatic{CallerAddress: "127.0.0.1:7", InnerAddress: "127.0.0.1:8"},
		}
		for _, seed := range c.seeds {
			_, err := c.calls.Sync(ctx, seed, courier.SyncArgs{From: entry})
			Expect(err).NotTo(HaveOccurred())
		}
		c.leave(ctx, upstreamapi.Leave{Name: "e1"})
		const retention = 3200 * time.Millisecond
		Consistently(ctx, recorded).WithTimeout(2 * retention).WithPolling(100 * time.Millisecond).
			Should(Or(BeEmpty(), Equal([]string{"v1", "v2"})))
	}, SpecTimeout(specTimeout))

	// No stream that may be resumed would begin at a version for which no room is left.
	It("are recorded although announcements name more services than can be", func(ctx SpecContext) {
		c := newTestCluster()
		c.fakes.add("e1", "a")
		c.fakes.add("f1", "a")
		c.leadTo(ctx, 1, "pool")
		var foreign []string
		for n := range resumption.MaxRecords {
			foreign = append(foreign, fmt.Sprint("foreign-", n))
		}
		announce := func() int {
			c.announceServices("f1", "v0", foreign...)
			return len(c.confirmedVersions(ctx))
		}
		Eventually(ctx, announce).Should(BeNumerically(">=", resumption.MaxRecords/2))
		Eventually(ctx, func() []string {
			c.announceServices("f1", "v0", foreign...)
			c.announceOnce("e1", "v1")
			return c.confirmedVersions(ctx)
		}).WithTimeout(10 * time.Second).Should(ContainElement("v1"))
	}, SpecTimeout(specTimeout))

	// An instance that has just started would refuse streams of services that never had another version.
	It("come with settled routes from the start of the system", func(ctx SpecContext) {
		c := newTestCluster()
		first := c.leadToWithin(ctx, 1, "pool", 10*time.Minute)
		Eventually(ctx, func() uint64 { return c.settledRoutes(ctx) }).Should(Equal(first))
	}, SpecTimeout(specTimeout))

	// Until the routes are settled, a stream may have begun wherever they led before.
	It("come with routes that are settled while they lead as before", func(ctx SpecContext) {
		c := newTestCluster()
		settled := func() uint64 { return c.settledRoutes(ctx) }
		first := c.leadTo(ctx, 1, "pool")
		Eventually(ctx, settled).Should(Equal(first))
		then := c.leadTo(ctx, 2, "desk")
		Eventually(ctx, settled).Should(BeZero())
		Eventually(ctx, settled).Should(Equal(then))
		c.loseAll(c.seeds...)
		Eventually(ctx, settled).Should(Equal(then))
	}, SpecTimeout(specTimeout))
})
