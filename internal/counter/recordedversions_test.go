package counter_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// record changes the recorded versions.
func (c *fakeControl) record(update resumption.RecordsUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions = c.versions.With(update)
}

// loseOrigins forgets where streams began, as control instances do that have just started.
func (c *fakeControl) loseOrigins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.origins = map[resumption.StreamID]resumption.Origin{}
}

// waitForRecords waits until an instance has the latest records: its next sync asks for later ones.
func (g *resumptionGroup) waitForRecords(ctx context.Context, instance int) {
	GinkgoHelper()
	Eventually(ctx, func() bool {
		g.control.mu.Lock()
		defer g.control.mu.Unlock()
		last := g.control.syncs[len(g.control.syncs)-1]
		return last.From.Name == g.peers[instance].address.String() && last.Versions == g.control.versions.Revision()
	}).Should(BeTrue())
}

// announceUnrecorded starts an upstream of a version that is not recorded.
func (g *resumptionGroup) announceUnrecorded(version string) {
	GinkgoHelper()
	g.upstreams++
	g.control.announceUnrecorded(g.clock.Now(), version, fmt.Sprint("e", g.upstreams), newVersionedUpstream(version).address())
	for _, p := range g.peers {
		Eventually(p.proxy.Upstreams, specTimeout).Should(Equal(g.upstreams))
	}
}

// announceUnrecorded announces an upstream whose version is not recorded with it.
func (c *fakeControl) announceUnrecorded(now time.Time, version, name, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	Expect(c.roster.Announce(now, upstreamapi.Announcement{
		Name: name, Incarnation: 1, Sequence: 1, Address: address, Services: []string{"desk"}, SoftwareVersion: version,
		Load: upstreamapi.Load{MaxRunning: 8}, Resident: []upstreamapi.Resident{{Model: resumedModel}},
	})).To(Succeed())
}

// What entry and control instances have heard is lost with them; only the records are left.
var _ = Describe("A stream that is resumed after all instances have been lost", func() {
	lose := func(g *resumptionGroup, streams int) {
		GinkgoHelper()
		Eventually(g.control.knownStreams, specTimeout).Should(Equal(streams))
		g.control.loseOrigins()
	}

	It("never goes on at another version if all upstreams were replaced before", func(ctx SpecContext) {
		g := newResumptionGroup(2)
		g.announceUpstreams("v1")
		g.expectNoOtherVersionAfterRestart(ctx, func() { g.replaceUpstreams("v2"); lose(g, streamsPerSpec) })
	}, SpecTimeout(specTimeout))

	It("never goes on at another version if its route was moved before", func(ctx SpecContext) {
		g := newResumptionGroup(2)
		g.announceService("desk", "v1")
		g.announceService("nobody", "v2")
		g.expectNoOtherVersionAfterRestart(ctx, func() { g.commit(ctx, withMovedDraft); lose(g, streamsPerSpec) })
	}, SpecTimeout(specTimeout))

	It("goes on if its route has always led to a service with one version", func(ctx SpecContext) {
		g := newResumptionGroup(2)
		g.announceService("desk", "v1")
		g.announceService("nobody", "v2")
		table, err := parseRoutes([]byte(allRoutes))
		Expect(err).NotTo(HaveOccurred())
		g.control.record(resumption.RecordsUpdate{SettledRoutes: table.ResumableDigest()})
		Expect(g.expectNoOtherVersionAfterRestart(ctx, func() { lose(g, streamsPerSpec) })).To(Equal(streamsPerSpec))
	}, SpecTimeout(specTimeout))

	// Versions are recorded for as long as the timeouts of routes require, which callers may exceed.
	It("never goes on at another version at an instance that has heard of its own while its caller may wait", func(ctx SpecContext) {
		g := newResumptionGroup(2)
		g.announceUpstreams("v1")
		g.control.setExactEntries(g.peers[1].address)
		Expect(g.begin(ctx, 0, "s1")).To(Equal("v1"))
		lose(g, 1)
		g.peers[0].proxy.Close()
		g.peers, g.servers = g.peers[1:], g.servers[1:]
		g.replaceUpstreams("v2")
		g.control.retire("v1")
		g.waitForRecords(ctx, 0)
		status, version := g.resume(ctx, 0, "s1")
		Expect(status).To(Equal(http.StatusServiceUnavailable), "went on at %s", version)
	}, SpecTimeout(specTimeout))

	// A version may have come into use that the instance has not heard of.
	It("never goes on at another version at an instance with an old copy of the records", func(ctx SpecContext) {
		g := newResumptionGroup(1)
		g.announceUpstreams("v1")
		late := startPeerWithClock(g.control, g.clock.Now)
		g.serveCallers(late)
		Eventually(late.proxy.Upstreams, specTimeout).Should(Equal(1))
		g.control.ignore(late.address)
		g.replaceUpstreams("v2")
		Expect(g.begin(ctx, 0, "s1")).To(Equal("v2"))
		lose(g, 1)
		g.peers[0].proxy.Close()
		status, version := g.resume(ctx, 1, "s1")
		Expect(status).To(Equal(http.StatusServiceUnavailable), "went on at %s", version)
	}, SpecTimeout(specTimeout))
})

// beginAt returns the status and the version of a stream that begins.
func (g *resumptionGroup) beginAt(ctx context.Context, instance int, id string) (status int, version string) {
	GinkgoHelper()
	g.clock.advance(g.callerTimeout / 50)
	status, text, _ := g.post(ctx, instance, http.Header{idHeader: {id}})
	return status, versionIn(text)
}

// A stream of a version that is not recorded would be taken for one of another version once all are lost.
var _ = It("A stream that may be resumed begins only at a version that is recorded", func(ctx SpecContext) {
	g := newResumptionGroup(2)
	g.control.record(resumption.RecordsUpdate{Added: []resumption.ServiceVersion{{Service: "desk", Version: "v1"}}})
	g.announceUnrecorded("v2")
	for n := range g.peers {
		status, version := g.beginAt(ctx, n, "s1")
		Expect(status).To(Equal(http.StatusServiceUnavailable), "began at %s", version)
	}
	g.control.record(resumption.RecordsUpdate{Added: []resumption.ServiceVersion{{Service: "desk", Version: "v2"}}})
	for n := range g.peers {
		Eventually(func() int { status, _ := g.beginAt(ctx, n, "s2"); return status }).WithTimeout(specTimeout).Should(Equal(http.StatusOK))
	}
}, SpecTimeout(specTimeout))

// No stream that may be resumed can begin before it.
var _ = DescribeTable("An instance that has no copy of the records syncs soon, however many there are",
	func(pool counter.UpstreamPool, list resumption.VersionList, delay time.Duration) {
		Expect(counter.NextSyncDelay(pool, 86, resumption.Catalog{}.With(list))).To(Equal(delay))
	},
	Entry("if its cluster keeps records", versionedPool(), resumption.VersionList{}, 250*time.Millisecond),
	Entry("but not once it has one", versionedPool(), resumption.VersionList{Revision: 1}, 516*time.Millisecond),
	Entry("nor before it knows an upstream", counter.NewUpstreamPool("here", lease), resumption.VersionList{}, 516*time.Millisecond),
)
