package roster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const lease = 3 * time.Second

var start = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func newRoster(name string) *roster.Roster {
	return roster.New(roster.Options{Self: name, Incarnation: 1, Lease: lease})
}

func announcement(sequence uint64) upstreamapi.Announcement {
	return upstreamapi.Announcement{
		Name:        "engine-1",
		Incarnation: 1,
		Sequence:    sequence,
		Address:     "127.0.0.1:8001",
		Kind:        upstreamapi.KindEngine,
		Resident:    []upstreamapi.Resident{{Model: "m"}},
		Load:        upstreamapi.Load{Running: int(sequence)},
	}
}

var _ = Describe("Roster", func() {
	It("gives an upstream no new work once its lease has passed", func() {
		r := newRoster("a")
		Expect(r.Announce(at(0), announcement(1))).To(Succeed())
		Expect(r.Upstreams(at(2.9))).To(HaveLen(1))
		Expect(r.Upstreams(at(3))).To(BeEmpty())
	})

	// An engine crashes and restarts under the same name at another address. Callers wait for it,
	// so the roster must not reserve the name for the crashed process until its lease expires.
	It("takes a later incarnation at another address where names stand for one upstream", func() {
		r := roster.New(roster.Options{Self: "a", Lease: lease, AllowRestartElsewhere: true})
		Expect(r.Announce(at(0), announcement(9))).To(Succeed())
		restarted := announcement(1)
		restarted.Incarnation, restarted.Address = 2, "127.0.0.1:8002"
		Expect(r.Announce(at(1), restarted)).To(Succeed())
		Expect(r.Announce(at(1.5), announcement(10))).To(MatchError(roster.ErrNameTaken), "a late announcement of the old process")
		alive := r.Upstreams(at(2))
		Expect(alive).To(HaveLen(1))
		Expect(alive[0].Announcement.Address).To(Equal("127.0.0.1:8002"))
		Expect(alive[0].Announcement.Incarnation).To(Equal(uint64(2)))
	})

	It("leaves a later incarnation where it is when the one before says late that it goes", func() {
		r := newRoster("a")
		restarted := announcement(1)
		restarted.Incarnation = 2
		Expect(r.Announce(at(0), restarted)).To(Succeed())
		r.Leave(at(1), upstreamapi.Leave{Name: "engine-1", Incarnation: 1})
		Expect(r.Upstreams(at(1))).To(HaveLen(1))
		r.Leave(at(1), upstreamapi.Leave{Name: "engine-1"})
		Expect(r.Upstreams(at(1))).To(BeEmpty(), "incarnation 0 matches any")
	})

	// Another program announces the name of a running engine for a service of its own. The engine's
	// callers must still reach the engine.
	It("refuses another service for the same incarnation", func() {
		r := newRoster("a")
		own := announcement(1)
		own.Services = []string{"pool"}
		Expect(r.Announce(at(0), own)).To(Succeed())
		foreign := announcement(2)
		foreign.Services = []string{"nowhere"}
		Expect(r.Announce(at(1), foreign)).To(MatchError(roster.ErrServicesMismatch))
		Expect(r.Upstreams(at(1))[0].Announcement.Services).To(Equal([]string{"pool"}))
	})

	// An announcement of another writer must not change the version by which streams are resumed.
	It("refuses another software version for the same incarnation", func() {
		r := newRoster("a")
		own := announcement(1)
		Expect(r.Announce(at(0), own)).To(Succeed())
		own.Sequence, own.SoftwareVersion = 2, "v1"
		Expect(r.Announce(at(0), own)).To(Succeed(), "it stated none before")
		for sequence, version := range map[uint64]string{3: "v2", 4: ""} {
			foreign := announcement(sequence)
			foreign.SoftwareVersion = version
			Expect(r.Announce(at(1), foreign)).To(MatchError(roster.ErrVersionMismatch))
		}
		Expect(r.Upstreams(at(1))[0].Announcement.SoftwareVersion).To(Equal("v1"))
		restarted := announcement(1)
		restarted.Incarnation, restarted.SoftwareVersion = 2, "v2"
		Expect(r.Announce(at(2), restarted)).To(Succeed())
	})

	It("refuses a reused name with a different address and changes nothing", func() {
		r := newRoster("a")
		Expect(r.Announce(at(0), announcement(1))).To(Succeed())
		other := announcement(2)
		other.Incarnation = 2
		other.Address = "127.0.0.1:8002"
		Expect(r.Announce(at(1), other)).To(MatchError(roster.ErrNameTaken))
		Expect(r.Upstreams(at(1))[0].Announcement.Address).To(Equal("127.0.0.1:8001"))
		Expect(r.Announce(at(4), other)).To(Succeed(), "the lease of the first has expired")
	})

	// An upstream leaves. A renewal that it sent earlier arrives later by another path. It must not
	// make the upstream eligible again: requests would go to a process that is shutting down.
	It("keeps an upstream that left away, whatever arrives late", func() {
		r := newRoster("a")
		Expect(r.Announce(at(0), announcement(1))).To(Succeed())
		r.Leave(at(1), upstreamapi.Leave{Name: "engine-1", Incarnation: 1})
		Expect(r.Upstreams(at(1))).To(BeEmpty())
		Expect(r.Announce(at(1.1), announcement(2))).To(Succeed())
		Expect(r.Upstreams(at(1.1))).To(BeEmpty())
		restarted := announcement(1)
		restarted.Incarnation = 2
		Expect(r.Announce(at(1.2), restarted)).To(Succeed())
		Expect(r.Upstreams(at(1.2))).To(HaveLen(1))
	})

	// An upstream sends its leave to one instance and keeps announcing itself to others until it
	// exits. An instance that learned only of the leave has no address for it. If it rejected the
	// announcement, the upstream would wait at instance after instance for the permission to exit.
	It("accepts an announcement of an upstream of which only the leave is known", func() {
		r := newRoster("a")
		Expect(r.Announce(at(0), upstreamapi.Announcement{Name: "engine-1", Incarnation: 1})).To(Succeed())
		r.Leave(at(0), upstreamapi.Leave{Name: "engine-1", Incarnation: 1})
		Expect(r.Announce(at(0.5), announcement(2))).To(Succeed())
		Expect(r.Upstreams(at(0.5))).To(BeEmpty(), "the upstream is still leaving")
	})

	It("passes changes on to another instance, and sends only the load of an unchanged upstream", func() {
		a, b := newRoster("a"), newRoster("b")
		Expect(a.Announce(at(0), announcement(1))).To(Succeed())
		var source roster.PullState
		first := a.Since(at(0.5), source.Cursor(false))
		b.Merge(at(0.5), &source, first)
		Expect(b.Upstreams(at(0.5))).To(HaveLen(1))
		Expect(a.Announce(at(1), announcement(2))).To(Succeed())
		second := a.Since(at(1.5), source.Cursor(false))
		Expect(second.Upstreams).To(BeEmpty())
		Expect(second.UpstreamBeats.Handles).To(HaveLen(1))
		b.Merge(at(1.5), &source, second)
		Expect(b.Upstreams(at(1.5))[0].Announcement.Load.Running).To(Equal(2))
		third := a.Since(at(2), source.Cursor(false))
		Expect(third.Upstreams).To(BeEmpty())
		Expect(third.UpstreamBeats.Handles).To(BeEmpty())
	})

	// The reply to a pull is delayed for a minute, and the upstream in it was lost in the
	// meantime. Counted from the arrival of the reply it would look alive; counted from the
	// request its lease has expired.
	It("takes no lost upstream for a live one because its record came late", func() {
		a, b := newRoster("a"), newRoster("b")
		Expect(a.Announce(at(0), announcement(1))).To(Succeed())
		delayed := a.Since(at(1), roster.Cursor{})
		b.Merge(at(1), &roster.PullState{}, delayed)
		Expect(b.Upstreams(at(61))).To(BeEmpty())
	})

	It("begins anew with an instance that was restarted", func() {
		a, b := newRoster("a"), newRoster("b")
		var source roster.PullState
		Expect(a.Announce(at(0), announcement(1))).To(Succeed())
		b.Merge(at(0), &source, a.Since(at(0), source.Cursor(false)))
		restarted := roster.New(roster.Options{Self: "a", Incarnation: 2, Lease: lease})
		Expect(restarted.Announce(at(1), announcement(2))).To(Succeed())
		b.Merge(at(1), &source, restarted.Since(at(1), source.Cursor(false)))
		Expect(b.Upstreams(at(3.5))).To(HaveLen(1))
	})

	// An instance was cut off from its source for so long that it evicted an upstream. The source
	// then sends only renewals of the upstream, which are useless without the full record. The
	// instance must request everything again, or it would never route to that upstream.
	It("asks for everything again after it forgot a member", func() {
		a, b := newRoster("a"), newRoster("b")
		var source roster.PullState
		Expect(a.Announce(at(0), announcement(1))).To(Succeed())
		b.Merge(at(0), &source, a.Since(at(0), source.Cursor(false)))
		b.EvictExpired(at(200))
		Expect(a.Announce(at(200), announcement(2))).To(Succeed())
		b.Merge(at(200), &source, a.Since(at(200), source.Cursor(false)))
		b.Merge(at(201), &source, a.Since(at(201), source.Cursor(false)))
		Expect(b.Upstreams(at(201))).To(HaveLen(1))
	})

	// An upstream restarted and announced itself to b. The source a does not know this yet and
	// sends a renewal of the old process with a higher sequence. It must not suppress the renewals
	// of the new process.
	It("takes no renewal of an earlier incarnation for the present one", func() {
		a, b := newRoster("a"), newRoster("b")
		var source roster.PullState
		Expect(a.Announce(at(0), announcement(90))).To(Succeed())
		b.Merge(at(0), &source, a.Since(at(0), source.Cursor(false)))
		restarted := announcement(1)
		restarted.Incarnation = 2
		Expect(b.Announce(at(1), restarted)).To(Succeed())
		Expect(a.Announce(at(1), announcement(91))).To(Succeed())
		b.Merge(at(1), &source, a.Since(at(1), source.Cursor(false)))
		restarted.Sequence = 2
		restarted.Load.Running = 7
		Expect(b.Announce(at(2), restarted)).To(Succeed())
		Expect(b.Upstreams(at(2))[0].Announcement.Load.Running).To(Equal(7))
	})

	It("discards a reply whose columns differ in length", func() {
		a, b := newRoster("a"), newRoster("b")
		var source roster.PullState
		Expect(a.Announce(at(0), announcement(1))).To(Succeed())
		b.Merge(at(0), &source, a.Since(at(0), source.Cursor(false)))
		Expect(a.Announce(at(1), announcement(2))).To(Succeed())
		malformed := a.Since(at(1), source.Cursor(false))
		malformed.UpstreamBeats.Running = nil
		b.Merge(at(1), &source, malformed)
		b.Merge(at(1), &source, a.Since(at(1), source.Cursor(false)))
		Expect(b.Upstreams(at(1))[0].Announcement.Load.Running).To(Equal(2))
	})
})
