package roster_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// newLocations returns n instances in ten failure domains; the first seven are voters.
func newLocations(n int) []roster.Location {
	all := make([]roster.Location, n)
	for k := range all {
		all[k] = roster.Location{
			Name:          fmt.Sprintf("instance-%03d", k),
			FailureDomain: fmt.Sprintf("domain-%d", k%10),
			Voter:         k < 7,
		}
	}
	return all
}

func without(all []roster.Location, lost ...string) []roster.Location {
	var remaining []roster.Location
	for _, location := range all {
		keep := true
		for _, name := range lost {
			keep = keep && location.Name != name
		}
		if keep {
			remaining = append(remaining, location)
		}
	}
	return remaining
}

var _ = Describe("SourcesOf", func() {
	It("returns all other instances of a small cluster", func() {
		all := newLocations(7)
		Expect(roster.SelectSources(all[6], all[:6]).All).To(HaveLen(6))
	})

	It("returns the voters in order of preference for a non-voter of a large cluster", func() {
		all := newLocations(330)
		sources := roster.SelectSources(all[100], without(all, all[100].Name))
		Expect(sources.All).To(BeEmpty())
		Expect(sources.Alternatives).To(HaveLen(7))
		Expect(sources.Alternatives[0]).To(Equal("instance-000"), "the voter in its own failure domain")
	})

	It("distributes the non-voters evenly over the voters", func() {
		all := newLocations(330)
		for _, voter := range all[:7] {
			pulledDirectly := len(roster.SelectSources(voter, without(all, voter.Name)).Direct)
			Expect(pulledDirectly).To(BeNumerically(">", 50))
			Expect(pulledDirectly).To(BeNumerically("<", 150))
		}
	})

	// An upstream announces itself to one non-voter. All instances must know it after three rounds
	// of pulls, even if the preferred voter of that non-voter is lost.
	DescribeTable("carries news to everybody in three rounds",
		func(lost ...string) {
			all := without(newLocations(330), lost...)
			rosters := map[string]*roster.Roster{}
			sources := map[string]map[string]*roster.PullState{}
			for _, location := range all {
				rosters[location.Name] = newRoster(location.Name)
				sources[location.Name] = map[string]*roster.PullState{}
			}
			Expect(rosters["instance-100"].Announce(at(0), announcement(1))).To(Succeed())
			now := at(0)
			for range 3 {
				now = now.Add(250 * time.Millisecond)
				pullRound(now, all, rosters, sources)
			}
			for _, location := range all {
				Expect(rosters[location.Name].Upstreams(now)).To(HaveLen(1), location.Name)
			}
		},
		Entry("with all voters"),
		Entry("without the first voter of the instance", "instance-000"),
		Entry("without three voters", "instance-000", "instance-003", "instance-005"),
	)
})

// pullRound makes every instance pull once. All replies reflect the state before the round.
func pullRound(
	now time.Time, all []roster.Location, rosters map[string]*roster.Roster, sources map[string]map[string]*roster.PullState,
) {
	type reply struct {
		to, from string
		changes  roster.Changes
	}
	var replies []reply
	for _, location := range all {
		targets := roster.SelectSources(location, without(all, location.Name))
		pull := func(from string, direct bool) {
			if sources[location.Name][from] == nil {
				sources[location.Name][from] = &roster.PullState{}
			}
			cursor := sources[location.Name][from].Cursor(direct)
			replies = append(replies, reply{location.Name, from, rosters[from].Since(now, cursor)})
		}
		for _, from := range append(targets.All, targets.Alternatives[:min(1, len(targets.Alternatives))]...) {
			pull(from, false)
		}
		for _, from := range targets.Direct {
			pull(from, true)
		}
	}
	for _, r := range replies {
		rosters[r.to].Merge(now, sources[r.to][r.from], r.changes)
	}
}

var _ = Describe("a pull for what was heard directly", func() {
	It("leaves out what other instances told", func() {
		a, b, c := newRoster("a"), newRoster("b"), newRoster("c")
		var bFromA, cFromB roster.PullState
		Expect(a.Announce(at(0), announcement(1))).To(Succeed())
		b.Merge(at(0), &bFromA, a.Since(at(0), bFromA.Cursor(false)))
		c.Merge(at(0), &cFromB, b.Since(at(0), cFromB.Cursor(true)))
		Expect(c.Upstreams(at(0))).To(BeEmpty())
		c.Merge(at(0), &cFromB, b.Since(at(0), cFromB.Cursor(false)))
		Expect(c.Upstreams(at(0))).To(HaveLen(1))
	})
})

var _ = Describe("a renewal", func() {
	It("carries the load as far as routing needs it", func() {
		a, b := newRoster("a"), newRoster("b")
		var source roster.PullState
		first := announcement(1)
		first.Load = upstreamapi.Load{KVTotalTokens: 1000, MaxRunning: 8, PrefillTokensPerSecond: 5000}
		Expect(a.Announce(at(0), first)).To(Succeed())
		b.Merge(at(0), &source, a.Since(at(0), source.Cursor(false)))
		second := announcement(2)
		second.Load = upstreamapi.Load{
			KVTotalTokens: 1000, KVUsedTokens: 250, MaxRunning: 8, PrefillTokensPerSecond: 5100,
			Running: 3, Waiting: 2, WaitingPromptTokens: 900, Clock: at(1),
		}
		Expect(a.Announce(at(1), second)).To(Succeed())
		changes := a.Since(at(1), source.Cursor(false))
		Expect(changes.Upstreams).To(BeEmpty())
		b.Merge(at(1), &source, changes)
		load := b.Upstreams(at(1))[0].Announcement.Load
		Expect(load.Running).To(Equal(3))
		Expect(load.Waiting).To(Equal(2))
		Expect(load.WaitingPromptTokens).To(Equal(900))
		Expect(load.KVUsedTokens).To(BeEquivalentTo(250))
		Expect(load.Clock).To(BeTemporally("==", at(1)))
		third := announcement(3)
		third.Load = second.Load
		third.Load.PrefillTokensPerSecond = 2500
		Expect(a.Announce(at(2), third)).To(Succeed())
		b.Merge(at(2), &source, a.Since(at(2), source.Cursor(false)))
		Expect(b.Upstreams(at(2))[0].Announcement.Load.PrefillTokensPerSecond).To(BeEquivalentTo(2500))
	})
})
