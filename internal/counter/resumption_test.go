package counter_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const (
	resumesHeader     = "Spec-Resumes"
	lastEventIDHeader = "Last-Event-ID"
	// resumedModel is the model that all upstreams of these specs have loaded.
	resumedModel = "m"
	// streamsPerSpec makes it improbable that a choice without regard to versions mixes none.
	streamsPerSpec = 16
)

// versionedUpstream responds with streams whose events name its software version. It breaks a new
// stream off after the first event, and completes one that is resumed.
type versionedUpstream struct {
	*upstream
	version string
	// endsRegularly ends the connection of a new stream like that of a complete one.
	endsRegularly atomic.Bool
}

func newVersionedUpstream(version string) *versionedUpstream {
	u := &versionedUpstream{version: version}
	u.upstream = newFakeUpstream(u.respond)
	return u
}

func (u *versionedUpstream) respond(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	w.Header().Set("Content-Type", "text/event-stream")
	if u.endsRegularly.Load() {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if r.Header.Get(lastEventIDHeader) != "" {
		fmt.Fprintf(w, "id: 2\ndata: %s\n\n", u.version)
		return
	}
	fmt.Fprintf(w, "id: 1\ndata: %s\n\n", u.version)
	Expect(http.NewResponseController(w).Flush()).To(Succeed())
	if u.endsRegularly.Load() {
		return
	}
	panic(http.ErrAbortHandler)
}

// resumptionGroup is a group of instances with callers whose streams break off and are resumed.
type resumptionGroup struct {
	*peerGroup
	servers   []*httptest.Server
	upstreams int
	// callerTimeout is the time that callers state.
	callerTimeout time.Duration
}

func newResumptionGroup(instances int) *resumptionGroup {
	GinkgoHelper()
	g := &resumptionGroup{peerGroup: newPeerGroup(instances), callerTimeout: 5 * time.Second}
	for _, p := range g.peers {
		g.serveCallers(p)
	}
	return g
}

// serveCallers starts the server of an instance for callers.
func (g *resumptionGroup) serveCallers(p peer) {
	server := startCallerServer(func(w http.ResponseWriter, r *http.Request) {
		p.proxy.ServeRequest(w, r, counter.Call{
			ID: r.Header.Get(idHeader), Resumes: r.Header.Get(resumesHeader), Timeout: g.callerTimeout, Model: resumedModel,
		})
	})
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	g.servers = append(g.servers, server)
}

// announceUpstreams starts upstreams of the given versions and waits until all instances know them.
func (g *resumptionGroup) announceUpstreams(versions ...string) []*versionedUpstream {
	GinkgoHelper()
	return g.announceService("desk", versions...)
}

// announceService is announceUpstreams for a service.
func (g *resumptionGroup) announceService(service string, versions ...string) []*versionedUpstream {
	GinkgoHelper()
	var started []*versionedUpstream
	for _, version := range versions {
		u := newVersionedUpstream(version)
		g.upstreams++
		g.control.announceService(service, version, fmt.Sprint("e", g.upstreams), u.address(), resumedModel)
		started = append(started, u)
	}
	g.waitUntilKnown(g.upstreams)
	return started
}

// begin begins a stream at an instance and returns the version of its first event. The stream then
// breaks off.
func (g *resumptionGroup) begin(ctx context.Context, instance int, id string) string {
	GinkgoHelper()
	g.clock.advance(100 * time.Millisecond)
	status, text, err := g.post(ctx, instance, http.Header{idHeader: {id}})
	Expect(err).To(HaveOccurred(), "status %d: %s", status, text)
	Expect(status).To(Equal(http.StatusOK))
	return versionIn(text)
}

// beginAll begins streams at an instance, which then break off, and returns the version of each.
func (g *resumptionGroup) beginAll(ctx context.Context, instance int) (versions map[string]string) {
	GinkgoHelper()
	versions = map[string]string{}
	for n := range streamsPerSpec {
		id := fmt.Sprint("s", n)
		versions[id] = g.begin(ctx, instance, id)
	}
	return versions
}

// resume resumes a stream at an instance, and returns the status and the version of its next event.
func (g *resumptionGroup) resume(ctx context.Context, instance int, id string) (status int, version string) {
	GinkgoHelper()
	g.clock.advance(100 * time.Millisecond)
	status, text, err := g.post(ctx, instance, http.Header{idHeader: {id + "-2"}, resumesHeader: {id}, http.CanonicalHeaderKey(lastEventIDHeader): {"1"}})
	Expect(err).NotTo(HaveOccurred())
	return status, versionIn(text)
}

// versionIn returns the version in the data of an event, empty if text is none.
func versionIn(text string) string {
	_, version, _ := strings.Cut(text, "data: ")
	return strings.TrimSpace(version)
}

func (g *resumptionGroup) post(ctx context.Context, instance int, header http.Header) (status int, text string, err error) {
	GinkgoHelper()
	return postToInstance(ctx, g.servers[instance].URL+"/draft/", header, "")
}

// commit commits a version of the routes and waits until all instances use it.
func (g *resumptionGroup) commit(ctx context.Context, content string) {
	GinkgoHelper()
	table, err := parseRoutes([]byte(content))
	Expect(err).NotTo(HaveOccurred())
	g.control.commit(content)
	for _, p := range g.peers {
		Eventually(ctx, p.proxy.RoutesVersion).Should(Equal(table.Version))
	}
}

// expectNoOtherVersion begins streams at the first instance and resumes each at the second one with the
// header that resumes returns. They are refused or go on at the version that began them. before is called
// in between.
func (g *resumptionGroup) expectNoOtherVersion(ctx context.Context, resumes func(id string) http.Header, before func()) {
	GinkgoHelper()
	began := g.beginAll(ctx, 0)
	before()
	for id, version := range began {
		g.clock.advance(100 * time.Millisecond)
		header := resumes(id)
		header.Set(idHeader, id+"-2")
		if status, text, _ := g.post(ctx, 1, header); status != http.StatusServiceUnavailable {
			Expect(versionIn(text)).To(Equal(version), "stream %s", id)
		}
	}
}

// named resumes the stream that a request began, and unnamed some stream.
func named(id string) http.Header {
	header := unnamed(id)
	header.Set(resumesHeader, id)
	return header
}

func unnamed(string) http.Header {
	return http.Header{http.CanonicalHeaderKey(lastEventIDHeader): {"1"}}
}

// expectSameVersion begins streams at one instance and resumes each at another one. before is called
// in between.
func (g *resumptionGroup) expectSameVersion(ctx context.Context, begunAt, resumedAt int, before func()) {
	GinkgoHelper()
	began := g.beginAll(ctx, begunAt)
	before()
	for id, version := range began {
		status, resumed := g.resume(ctx, resumedAt, id)
		Expect(status).To(Equal(http.StatusOK), "stream %s, which began at %s", id, version)
		Expect(resumed).To(Equal(version), "stream %s", id)
	}
}

// Events of two software versions do not fit together in one stream.
var _ = Describe("A stream that is resumed", func() {
	DescribeTable("goes on at the version that began it",
		func(ctx SpecContext, resumedAt int) {
			g := newResumptionGroup(4)
			g.announceUpstreams("v1", "v2")
			g.expectSameVersion(ctx, 0, resumedAt, func() {})
		},
		Entry("at the same instance", SpecTimeout(specTimeout), 0),
		Entry("at another instance", SpecTimeout(specTimeout), 1),
	)

	It("goes on at that version whatever time its caller states", func(ctx SpecContext) {
		g := newResumptionGroup(4)
		g.callerTimeout = math.MaxInt64
		g.announceUpstreams("v1", "v2")
		g.expectSameVersion(ctx, 0, 1, func() {})
	}, SpecTimeout(specTimeout))

	It("goes on at that version after the instance that began it is gone", func(ctx SpecContext) {
		g := newResumptionGroup(4)
		g.announceUpstreams("v1", "v2")
		g.expectSameVersion(ctx, 0, 1, g.peers[0].proxy.Close)
	}, SpecTimeout(specTimeout))

	It("goes on at that version after all instances have been replaced", func(ctx SpecContext) {
		g := newResumptionGroup(3)
		g.announceUpstreams("v1", "v2")
		g.expectSameVersion(ctx, 0, 3, func() {
			Eventually(g.control.knownStreams, specTimeout).Should(Equal(streamsPerSpec))
			for _, p := range g.peers {
				p.proxy.Close()
			}
			replacement := startPeerWithClock(g.control, g.clock.Now)
			g.control.setExactEntries(replacement.address)
			g.serveCallers(replacement)
			Eventually(replacement.proxy.Upstreams, specTimeout).Should(Equal(2))
		})
	}, SpecTimeout(specTimeout))

	It("goes on at that version if its first event came from a retry", func(ctx SpecContext) {
		g := newResumptionGroup(3)
		g.announceUpstreams("v1")[0].server.Close()
		g.announceUpstreams("v2")
		g.expectSameVersion(ctx, 0, 1, func() { g.announceUpstreams("v1") })
	}, SpecTimeout(specTimeout))

	It("goes on at that version if it began before there was another one", func(ctx SpecContext) {
		g := newResumptionGroup(4)
		g.announceUpstreams("v1")
		g.expectSameVersion(ctx, 0, 1, func() {
			g.announceUpstreams("v2", "v2")
			g.peers[0].proxy.Close()
		})
	}, SpecTimeout(specTimeout))

	It("goes on at that version through a peer", func(ctx SpecContext) {
		g := newResumptionGroup(3)
		g.announceUpstreams("v1", "v1", "v2", "v2")
		g.expectSameVersion(ctx, 0, 1, func() { g.peers[1].path.fail(os.ErrDeadlineExceeded) })
	}, SpecTimeout(specTimeout))

	It("does not go on if a process of another version has taken over the address", func(ctx SpecContext) {
		g := newResumptionGroup(2)
		old := g.announceUpstreams("v1")[0]
		Expect(g.begin(ctx, 0, "s1")).To(Equal("v1"))
		g.clock.advance(time.Second)
		g.control.announceVersion("v2", "e9", old.address(), resumedModel)
		g.upstreams++
		g.waitUntilKnown(g.upstreams)
		count := old.count()
		status, _ := g.resume(ctx, 1, "s1")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(old.count()).To(Equal(count))
	}, SpecTimeout(specTimeout))

	It("is refused at once if no upstream of that version is left", func(ctx SpecContext) {
		g := newResumptionGroup(2)
		g.announceUpstreams("v1")
		Expect(g.begin(ctx, 0, "s1")).To(Equal("v1"))
		other := g.announceUpstreams("v2")[0]
		g.control.announceLeave("e1")
		Eventually(g.peers[1].proxy.KnowsLeave("e1"), specTimeout).Should(BeTrue())
		count := other.count()
		began := time.Now()
		status, _ := g.resume(ctx, 1, "s1")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(other.count()).To(Equal(count))
	}, SpecTimeout(specTimeout))

	It("does not go on if its version is unknown and there are several", func(ctx SpecContext) {
		g := newResumptionGroup(2)
		upstreams := g.announceUpstreams("v1", "v2")
		status, _ := g.resume(ctx, 1, "never-begun")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(upstreams[0].count() + upstreams[1].count()).To(BeZero())
	}, SpecTimeout(specTimeout))

	It("goes on if its version is unknown and there is only one", func(ctx SpecContext) {
		g := newResumptionGroup(2)
		g.announceUpstreams("v1", "v1")
		status, version := g.resume(ctx, 1, "begun-before-all-instances-restarted")
		Expect(status).To(Equal(http.StatusOK))
		Expect(version).To(Equal("v1"))
	}, SpecTimeout(specTimeout))

	It("does not go on while some upstreams may be unknown, and its caller may return later", func(ctx SpecContext) {
		g := newResumptionGroup(2)
		g.control.setRosterIncomplete(true)
		restarted := startPeerWithClock(g.control, g.clock.Now)
		g.control.addExactEntries(restarted.address)
		g.peers = append(g.peers, restarted)
		g.serveCallers(restarted)
		upstreams := g.announceUpstreams("v1")
		status, _ := g.resume(ctx, 2, "begun-before-all-instances-restarted")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(upstreams[0].count()).To(BeZero())
	}, SpecTimeout(specTimeout))

	It("goes on at that version if its route leads to services of one version each", func(ctx SpecContext) {
		g := newResumptionGroup(7)
		g.announceService("desk", "v1")
		g.announceService("nobody", "v2")
		g.commit(ctx, withSplitDraft)
		g.expectSameVersion(ctx, 0, 1, func() {})
	}, SpecTimeout(specTimeout))

	It("goes on if one of the services of its route has no upstream", func(ctx SpecContext) {
		g := newResumptionGroup(2)
		g.announceUpstreams("v1")
		g.commit(ctx, withSplitDraft)
		Eventually(ctx, func() int {
			g.clock.advance(100 * time.Millisecond)
			status, _ := g.resume(ctx, 1, "never-begun")
			return status
		}).Should(Equal(http.StatusOK))
	}, SpecTimeout(specTimeout))

	DescribeTable("never goes on at another version",
		func(ctx SpecContext, first, then string, resumes func(id string) http.Header) {
			g := newResumptionGroup(7)
			g.announceService("desk", "v1")
			g.announceService("nobody", "v2")
			g.commit(ctx, first)
			g.expectNoOtherVersion(ctx, resumes, func() { g.commit(ctx, then) })
		},
		Entry("of its split route, if its beginning is not named", SpecTimeout(specTimeout), withSplitDraft, withSplitDraft, unnamed),
		Entry("after its route has moved", SpecTimeout(specTimeout), allRoutes, withMovedDraft, named),
		Entry("after its route has moved, if its beginning is not named", SpecTimeout(specTimeout), allRoutes, withMovedDraft, unnamed),
		Entry("after its route is no longer split", SpecTimeout(specTimeout), withSplitDraft, withMovedDraft, named),
	)

	// An instance that cannot reach the control instances does not learn of other versions.
	It("never goes on at another version at an instance that knows only that one", func(ctx SpecContext) {
		g := newResumptionGroup(3)
		g.announceUpstreams("v1")
		g.control.ignore(g.peers[1].address)
		v2 := newVersionedUpstream("v2")
		g.control.announceVersion("v2", "e2", v2.address(), resumedModel)
		Eventually(g.peers[0].proxy.Upstreams, specTimeout).Should(Equal(2))
		began := g.beginAll(ctx, 0)
		Expect(g.peers[1].proxy.Upstreams()).To(Equal(1))
		for id, version := range began {
			if status, resumed := g.resume(ctx, 1, id); status == http.StatusOK {
				Expect(resumed).To(Equal(version), "stream %s", id)
			}
		}
	}, SpecTimeout(specTimeout))
})

var _ = Describe("A stream that is resumed", func() {
	// The owner of a model may have heard of an upstream before the instance that sends to it.
	It("never goes on at another version if the instance that began it does not know its upstream", func(ctx SpecContext) {
		g := newResumptionGroup(3)
		g.announceUpstreams("v1")
		owner, _ := permit.NewOwners(g.addresses()).Of("desk", resumedModel, func(netip.AddrPort) bool { return true })
		late := (slices.Index(g.addresses(), owner) + 1) % len(g.peers)
		g.control.ignore(g.peers[late].address)
		v2 := newVersionedUpstream("v2")
		g.control.announceVersion("v2", "e2", v2.address(), resumedModel)
		for n, p := range g.peers {
			if n != late {
				Eventually(p.proxy.Upstreams, specTimeout).Should(Equal(2))
			}
		}
		began := g.beginAll(ctx, late)
		Eventually(ctx, func() int {
			g.clock.advance(100 * time.Millisecond)
			_, _, _ = postToInstance(ctx, g.servers[late].URL+"/write/", http.Header{idHeader: {"w"}}, "")
			return v2.count()
		}).Should(BeNumerically(">", 0), "the owner grants it")
		for id, version := range began {
			for at := range g.peers {
				if status, resumed := g.resume(ctx, at, id); status == http.StatusOK {
					Expect(resumed).To(Equal(version), "stream %s at %d, late is %d", id, at, late)
				}
			}
		}
		g.clock.advance(2 * time.Minute)
		count := v2.count()
		Eventually(ctx, func() int {
			g.begin(ctx, late, "after-a-lease")
			return v2.count()
		}).Should(BeNumerically(">", count), "an instance that does not sync any more uses what others know")
	}, SpecTimeout(specTimeout))

	// The caller may have left without this instance having noticed.
	It("goes on at that version while its beginning is still relayed, and several times at once", func(ctx SpecContext) {
		g := newResumptionGroup(2)
		release := make(chan struct{})
		for _, version := range []string{"v1", "v2"} {
			u := newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(idHeader, r.Header.Get(idHeader))
				fmt.Fprintf(w, "id: 1\ndata: %s\n\n", version)
				Expect(http.NewResponseController(w).Flush()).To(Succeed())
				if r.Header.Get(lastEventIDHeader) == "" {
					<-release
				}
			})
			g.control.announceVersion(version, "e-"+version, u.address(), resumedModel)
		}
		g.waitUntilKnown(2)
		var relayed sync.WaitGroup
		// All of them have a slot at one upstream.
		for n := range 3 {
			g.clock.advance(time.Second)
			id := fmt.Sprint("s", n)
			first := make(chan string)
			relayed.Go(func() {
				defer GinkgoRecover()
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.servers[0].URL+"/draft/", nil)
				Expect(err).NotTo(HaveOccurred())
				request.Host = "spec.test"
				request.Header.Set(idHeader, id)
				response, err := http.DefaultTransport.RoundTrip(request)
				Expect(err).NotTo(HaveOccurred())
				defer response.Body.Close()
				event := make([]byte, len("id: 1\ndata: v1\n\n"))
				_, err = io.ReadFull(response.Body, event)
				Expect(err).NotTo(HaveOccurred())
				first <- versionIn(string(event))
				rest, err := io.ReadAll(response.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(rest).To(BeEmpty(), "events of another run")
			})
			version := <-first
			var resumed sync.WaitGroup
			for at := range 3 {
				resumed.Go(func() {
					defer GinkgoRecover()
					header := named(id)
					header.Set(idHeader, fmt.Sprint(id, "-", at))
					status, text, err := g.post(ctx, at%2, header)
					Expect(err).NotTo(HaveOccurred())
					Expect(status).To(Equal(http.StatusOK))
					Expect(text).To(Equal("id: 1\ndata: " + version + "\n\n"))
				})
			}
			resumed.Wait()
		}
		close(release)
		relayed.Wait()
	}, SpecTimeout(specTimeout))

	DescribeTable("never goes on at another version if its request",
		func(ctx SpecContext, beginID string, resumes http.Header) {
			g := newResumptionGroup(2)
			g.announceUpstreams("v1", "v2")
			var last string
			for range streamsPerSpec {
				first := g.begin(ctx, 0, beginID)
				last = g.begin(ctx, 0, beginID)
				status, text, _ := g.post(ctx, 0, resumes.Clone())
				if status == http.StatusOK {
					Expect(versionIn(text)).To(Equal(first), "the last one began at %s", last)
				}
			}
		},
		Entry("has no ID, as that of another stream", SpecTimeout(specTimeout), "", unnamed("")),
		Entry("has an empty event ID before the right one", SpecTimeout(specTimeout), "s1",
			http.Header{idHeader: {"s2"}, http.CanonicalHeaderKey(lastEventIDHeader): {"", "1"}}),
	)
})

var _ = Describe("A service with one software version", func() {
	// A leave may come without an announcement, and so without a version.
	It("has one after an upstream has left", func() {
		pool := counter.NewUpstreamPool("here", lease)
		for _, name := range []string{"e1", "e2"} {
			engine := engineRecord(name, "here", start, "m")
			engine.Announcement.SoftwareVersion = "v1"
			pool.Apply(start, engine)
		}
		pool.Apply(start, roster.Upstream{
			Announcement: upstreamapi.Announcement{Name: "e1", Incarnation: math.MaxUint64}, LastContact: start, Leaving: true,
		})
		Expect(pool.HasSeveralVersions("pool")).To(BeFalse())
		other := engineRecord("e3", "here", start, "m")
		other.Announcement.SoftwareVersion = "v2"
		pool.Apply(start, other)
		Expect(pool.HasSeveralVersions("pool")).To(BeTrue())
	})
})

var _ = Describe("The instance that owns a model", func() {
	It("grants a stream that is resumed only an upstream of its version", func() {
		instances := instanceAddresses(3)
		pool := counter.NewUpstreamPool("here", lease)
		instance := counter.NewInstance(pool, instances[0], instances)
		model := modelOwnedBy("pool", instances[0], instances...)
		for name, version := range map[string]string{"e1": "v1", "e2": "v2", "e3": "v1"} {
			engine := engineRecord(name, "here", start, model)
			engine.Announcement.SoftwareVersion = version
			pool.Apply(start, engine)
		}
		for id := range permit.ID(8) {
			ask := askMessage(id+1, model)
			ask.Software = resumption.BoundTo("v2")
			sent := instance.Receive(start.Add(time.Duration(id)*time.Second), instances[1], ask)
			Expect(sent[0].Message.(permit.Granted).Upstream).To(Equal("e2"))
		}
		ask := askMessage(100, model)
		ask.Software = resumption.BoundTo("v3")
		sent := instance.Receive(start, instances[1], ask)
		Expect(sent[0].Message.(permit.Rejected).Reason).To(Equal(permit.VersionUnavailable))
	})
})
