package counter_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// ownerAndOther returns the instance that owns the model of the streams, and one that does not.
func (g *resumptionGroup) ownerAndOther() (owner, other int) {
	owner = slices.Index(g.addresses(), ownerAmong(g.addresses()...))
	return owner, (owner + 1) % len(g.peers)
}

// ownerAmong returns which of several instances owns the model of the streams.
func ownerAmong(instances ...netip.AddrPort) netip.AddrPort {
	owner, _ := permit.NewOwners(instances).Of("desk", resumedModel, func(netip.AddrPort) bool { return true })
	return owner
}

// restart announces that a process of another version has started under the name of an upstream.
func (c *fakeControl) restart(name, version, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions = c.versions.With(resumption.RecordsUpdate{Added: []resumption.ServiceVersion{{Service: "desk", Version: version}}})
	Expect(c.roster.Announce(time.Now(), upstreamapi.Announcement{
		Name: name, Incarnation: 2, Sequence: 1, Address: address, Services: []string{"desk"}, SoftwareVersion: version,
		Load: upstreamapi.Load{MaxRunning: 8}, Resident: []upstreamapi.Resident{{Model: resumedModel}},
	})).To(Succeed())
}

// originOf returns the version at which a stream began according to the control instance, empty if it does not
// know.
func (c *fakeControl) originOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.origins[resumption.StreamOf(id)].SoftwareVersion
}

// longerThanLease is above the lease of all instances.
const longerThanLease = 2 * time.Minute

// startWithoutRecords starts an instance whose cluster keeps records, of which it has none yet.
func (g *resumptionGroup) startWithoutRecords() {
	GinkgoHelper()
	g.control.setKeepsRecords()
	fresh := startPeerWithClock(g.control, g.clock.Now)
	g.peers = append(g.peers, fresh)
	g.control.addExactEntries(fresh.address)
	g.serveCallers(fresh)
}

// newGroupOwnedElsewhere starts an instance that knows an upstream of v1, and the owner of its model.
func newGroupOwnedElsewhere(ctx context.Context) (g *resumptionGroup, known *versionedUpstream, owner *grantingOwner) {
	GinkgoHelper()
	g = newResumptionGroup(1)
	known = g.announceUpstreams("v1")[0]
	owner = listenGrantingOwner()
	for ownerAmong(g.peers[0].address, owner.address) != owner.address {
		owner = listenGrantingOwner()
	}
	g.control.addExactEntries(owner.address)
	Eventually(ctx, g.peers[0].proxy.Instances).Should(Equal(2))
	return g, known, owner
}

var _ = Describe("A stream that may be resumed", func() {
	// A control instance that has just started knows none of the records of its cluster.
	It("does not begin at an unrecorded version at an instance that has no copy of the records yet", func(ctx SpecContext) {
		g := newResumptionGroup(0)
		g.control.record(resumption.RecordsUpdate{Added: []resumption.ServiceVersion{{Service: "desk", Version: "v1"}}})
		g.control.setCatchingUp(true)
		g.startWithoutRecords()
		g.announceUnrecorded("v2")
		status, version := g.beginAt(ctx, 0, "s1")
		Expect(status).To(Equal(http.StatusServiceUnavailable), "began at %s", version)
		g.control.record(resumption.RecordsUpdate{Added: []resumption.ServiceVersion{{Service: "desk", Version: "v2"}}})
		g.control.setCatchingUp(false)
		Eventually(ctx, func() int { status, _ := g.beginAt(ctx, 0, "s2"); return status }).Should(Equal(http.StatusOK))
	}, SpecTimeout(specTimeout))

	It("waits for the first copy of the records", func(ctx SpecContext) {
		g := newResumptionGroup(0)
		g.startWithoutRecords()
		g.announceUnrecorded("v1")
		status := make(chan int)
		go func() {
			defer GinkgoRecover()
			answer, _ := g.beginAt(ctx, 0, "s1")
			status <- answer
		}()
		Consistently(status).WithTimeout(300 * time.Millisecond).ShouldNot(Receive())
		g.control.record(resumption.RecordsUpdate{Added: []resumption.ServiceVersion{{Service: "desk", Version: "v1"}}})
		Eventually(ctx, status).Should(Receive(Equal(http.StatusOK)))
	}, SpecTimeout(specTimeout))

	It("does not begin at an unrecorded version at an instance that has not synced for longer than a lease", func(ctx SpecContext) {
		g := newResumptionGroup(3)
		_, late := g.ownerAndOther()
		g.announceUpstreams("v1")
		g.control.ignore(g.peers[late].address)
		g.control.announceLeave("e1")
		unrecorded := newVersionedUpstream("v2")
		g.control.announceUnrecorded(g.clock.Now(), "v2", "e2", unrecorded.address())
		for n, p := range g.peers {
			if n != late {
				Eventually(p.proxy.Upstreams, specTimeout).Should(Equal(2))
			}
		}
		g.clock.advance(longerThanLease)
		for n := range 4 {
			if status, version := g.beginAt(ctx, late, fmt.Sprint("s", n)); status == http.StatusOK {
				Expect(version).NotTo(Equal("v2"))
			}
		}
		Expect(unrecorded.count()).To(BeZero())
	}, SpecTimeout(specTimeout))

	// Owners of the version before tell the name and the address alone.
	It("does not begin at a process that its instance does not know and the owner does not describe", func(ctx SpecContext) {
		g, known, owner := newGroupOwnedElsewhere(ctx)
		g.control.ignore(g.peers[0].address)
		g.clock.advance(longerThanLease)
		unknown := newVersionedUpstream("v2")
		owner.grantAlways("unknown", unknown.address())
		Expect(g.begin(ctx, 0, "s1")).To(Equal("v1"))
		Eventually(ctx, owner.releases).Should(Receive())
		Expect(unknown.count()).To(BeZero())
		Expect(known.count()).To(Equal(1))
	}, SpecTimeout(specTimeout))

	// The process that an owner grants may have taken over the name of one that is known here.
	It("never goes on at another version if an instance that has not synced for longer than a lease was granted a process that it does not know", func(ctx SpecContext) {
		g := newResumptionGroup(3)
		_, late := g.ownerAndOther()
		g.announceUpstreams("v1", "v1")
		g.control.ignore(g.peers[late].address)
		successor := newVersionedUpstream("v2")
		g.control.restart("e1", "v2", successor.address())
		for n, p := range g.peers {
			if n != late {
				Eventually(p.proxy.IncarnationOf("e1"), specTimeout).Should(BeEquivalentTo(2))
			}
		}
		g.clock.advance(longerThanLease)
		began := g.beginAll(ctx, late)
		Expect(began).To(ContainElement("v2"), "the owner grants it")
		for id, version := range began {
			for at := range g.peers {
				if status, resumed := g.resume(ctx, at, id); status == http.StatusOK {
					Expect(resumed).To(Equal(version), "stream %s at %d, late is %d", id, at, late)
				}
			}
		}
	}, SpecTimeout(specTimeout))

	// Either of the two processes may have answered.
	DescribeTable("has a known version if a process of another version takes over the name of its upstream meanwhile",
		func(ctx SpecContext, lastEvent string) {
			g := newResumptionGroup(2)
			var u *upstream
			var version atomic.Pointer[string]
			version.Store(new("v1"))
			u = newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(lastEventIDHeader) == lastEvent && *version.Load() == "v1" {
					version.Store(new("v2"))
					g.control.restart("e1", "v2", u.address())
					Eventually(ctx, g.peers[0].proxy.IncarnationOf("e1")).Should(BeEquivalentTo(2))
				}
				(&versionedUpstream{version: *version.Load()}).respond(w, r)
			})
			g.control.announceVersion("v1", "e1", u.address(), resumedModel)
			g.upstreams = 1
			g.waitUntilKnown(1)
			_, began := g.beginAt(ctx, 0, "s1")
			Eventually(ctx, func() string { return g.control.originOf("s1") }).WithTimeout(2 * time.Second).Should(Equal(began))
			if status, resumed := g.resume(ctx, 0, "s1"); status == http.StatusOK {
				Expect(resumed).To(Equal(began))
			}
		},
		Entry("as it begins", SpecTimeout(specTimeout), ""),
		Entry("as it goes on", SpecTimeout(specTimeout), "1"),
	)
})

var _ = DescribeTable("A grant that describes a process, at an instance that knows the second one of v1 under its name",
	func(incarnation uint64, version string, recorded []resumption.ServiceVersion, used bool) {
		pool, instances := counter.NewUpstreamPool("here", lease), instanceAddresses(2)
		known := versionedRecord("v1", start, "m")
		known.Announcement.Incarnation = 2
		pool.Apply(start, known)
		pool.SetCatalog(resumption.Catalog{}.With(resumption.VersionList{Revision: 1, Versions: recorded}))
		began, sent := counter.NewInstance(pool, instances[0], instances).UseGrant(instances[1], permit.Granted{
			ID: 1, Upstream: "e-v1", Address: known.Announcement.Address, Described: true, Incarnation: incarnation, SoftwareVersion: version,
		})
		if used {
			Expect(began).To(Equal(version))
			return
		}
		Expect(began).To(BeEmpty())
		Expect(sent).To(ConsistOf(counter.SentMessage{To: instances[1], Message: permit.Release{ID: 1}}))
	},
	Entry("is used if it is that one", uint64(2), "v1", []resumption.ServiceVersion{{Service: "pool", Version: "v1"}}, true),
	Entry("is used if only its owner has heard that the version is recorded", uint64(2), "v1", nil, true),
	Entry("is used if it is the next one", uint64(3), "v2", nil, true),
	Entry("is returned if it is the first one", uint64(1), "v1", []resumption.ServiceVersion{{Service: "pool", Version: "v1"}}, false),
	Entry("is returned if its version is another one", uint64(2), "v2", []resumption.ServiceVersion{{Service: "pool", Version: "v1"}}, false),
)
