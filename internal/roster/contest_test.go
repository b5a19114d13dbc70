package roster_test

import (
	"flag"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// newContestedRoster returns a roster as on the provider's machines: one whose upstreams are contested
// after two seconds.
func newContestedRoster(name string) *roster.Roster {
	return roster.New(roster.Options{
		Self: name, Incarnation: 1, Lease: lease, AllowRestartElsewhere: true, ContestTime: roster.ContestTimeFor(lease),
	})
}

// announcementOf is an announcement of a process that answers for a service.
func announcementOf(incarnation, sequence uint64, service string) upstreamapi.Announcement {
	a := announcement(sequence)
	a.Incarnation, a.Services = incarnation, []string{service}
	return a
}

// isServing reports whether the only upstream that gets new work is the given process.
func isServing(r *roster.Roster, seconds float64, incarnation uint64) bool {
	alive := r.Upstreams(at(seconds))
	return len(alive) == 1 && alive[0].Announcement.Incarnation == incarnation
}

var _ = Describe("A report of another writer under an upstream's name", func() {
	// One report with a later incarnation and a service that nobody asks for took the upstream out until
	// its record was forgotten, 30 leases later.
	It("changes nothing if it gives another service while the upstream goes on", func() {
		r := newContestedRoster("a")
		Expect(r.Announce(at(0), announcementOf(5, 1, "letters"))).To(Succeed())
		Expect(r.Announce(at(0.5), announcementOf(9, 1, "nothing"))).To(MatchError(roster.ErrServicesMismatch))
		Expect(r.Announce(at(1), announcementOf(5, 2, "letters"))).To(Succeed())
		Expect(isServing(r, 1, 5)).To(BeTrue())
	})

	DescribeTable("takes the upstream out for no longer than its contest time",
		func(service string, first bool) {
			r := newContestedRoster("a")
			if !first {
				Expect(r.Announce(at(0), announcementOf(5, 1, "letters"))).To(Succeed())
			}
			_ = r.Announce(at(0.5), announcementOf(9, 1, service))
			for n := range 3 {
				_ = r.Announce(at(1+1.2*float64(n)), announcementOf(5, uint64(2+n), "letters"))
			}
			Expect(isServing(r, 3.4, 5)).To(BeTrue())
		},
		Entry("of the same service, after the upstream's own", "letters", false),
		Entry("of the same service, before the upstream's own", "letters", true),
		Entry("of another service, before the upstream's own", "nothing", true),
	)

	It("is not taken from another instance", func() {
		a, b := newContestedRoster("a"), newContestedRoster("b")
		var fromB, fromA roster.PullState
		Expect(a.Announce(at(0), announcementOf(5, 1, "letters"))).To(Succeed())
		Expect(b.Announce(at(0), announcementOf(9, 1, "nothing"))).To(Succeed())
		a.Merge(at(0.2), &fromB, b.Since(at(0.2), fromB.Cursor(false)))
		Expect(isServing(a, 0.2, 5)).To(BeTrue())
		for n := range 3 {
			now := 1 + 1.2*float64(n)
			Expect(a.Announce(at(now), announcementOf(5, uint64(2+n), "letters"))).To(Succeed())
			b.Merge(at(now), &fromA, a.Since(at(now), fromA.Cursor(false)))
		}
		Expect(isServing(a, 3.4, 5)).To(BeTrue())
	})

	It("leaves a real restart at the same address its place at once", func() {
		r := newContestedRoster("a")
		Expect(r.Announce(at(0), announcementOf(5, 9, "letters"))).To(Succeed())
		Expect(r.Announce(at(1), announcementOf(6, 1, "letters"))).To(Succeed())
		Expect(isServing(r, 1, 6)).To(BeTrue())
		Expect(r.Announce(at(1.5), announcementOf(5, 10, "letters"))).To(Succeed(), "late")
		Expect(isServing(r, 1.5, 6)).To(BeTrue())
	})

	It("revives nothing that has left", func() {
		r := newContestedRoster("a")
		Expect(r.Announce(at(0), announcementOf(5, 1, "letters"))).To(Succeed())
		r.Leave(at(1), upstreamapi.Leave{Name: "engine-1", Incarnation: 5})
		Expect(r.Announce(at(9), announcementOf(4, 7, "letters"))).To(Succeed(), "late")
		Expect(r.Announce(at(9), announcementOf(5, 8, "letters"))).To(Succeed(), "late")
		Expect(r.Upstreams(at(9))).To(BeEmpty())
	})

	// Whatever other writers have said at whichever instance, in whichever order, an upstream that goes on
	// announcing itself is served everywhere again once they are silent.
	It("is forgotten after any sequence of reports", func() {
		Expect(flag.Set("rapid.seed", "7")).To(Succeed())
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			names := []string{"a", "b", "c"}
			rosters, pulls := map[string]*roster.Roster{}, map[string]*roster.PullState{}
			for _, name := range names {
				rosters[name] = newContestedRoster(name)
			}
			pullAll := func(seconds float64) {
				for _, to := range names {
					for _, from := range names {
						if key := to + from; to != from {
							if pulls[key] == nil {
								pulls[key] = &roster.PullState{}
							}
							rosters[to].Merge(at(seconds), pulls[key], rosters[from].Since(at(seconds), pulls[key].Cursor(false)))
						}
					}
				}
			}
			now, sequence := 0.0, uint64(0)
			announceOwn := func() {
				sequence++
				// An upstream whose report is refused turns to the next instance.
				for _, n := range rapid.Permutation(names).Draw(t, "order") {
					if rosters[n].Announce(at(now), announcementOf(500, sequence, "letters")) == nil {
						break
					}
				}
			}
			for range rapid.IntRange(1, 12).Draw(t, "reports") {
				now += 0.1 * float64(rapid.IntRange(0, 12).Draw(t, "pause"))
				if rapid.Bool().Draw(t, "own") {
					announceOwn()
				} else {
					foreign := announcementOf(rapid.Uint64Range(1, 999).Draw(t, "incarnation"), rapid.Uint64Range(1, 99).Draw(t, "sequence"),
						rapid.SampledFrom([]string{"letters", "nothing", "other"}).Draw(t, "service"))
					foreign.Address = rapid.SampledFrom([]string{"127.0.0.1:8001", "127.0.0.1:9"}).Draw(t, "address")
					if foreign.Incarnation != 500 {
						_ = rosters[rapid.SampledFrom(names).Draw(t, "at")].Announce(at(now), foreign)
					}
				}
				pullAll(now)
			}
			for range 6 {
				now += 1
				announceOwn()
				pullAll(now)
			}
			for _, name := range names {
				if !isServing(rosters[name], now, 500) {
					t.Fatalf("%s does not serve the upstream: %v", name, fmt.Sprint(rosters[name].Upstreams(at(now))))
				}
			}
		})
	})
})
