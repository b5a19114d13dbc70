package fairshare_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/fairshare"
)

var (
	options = fairshare.Options{HalfLife: 2 * time.Second, ForgetAfter: 30 * time.Second, MaxWorkspaces: 1024}
	start   = time.Unix(1000, 0)
)

func claimOf(workspace string, weight float64) fairshare.Claim {
	return fairshare.Claim{Workspace: workspace, Weight: weight, Cost: 100 * time.Millisecond}
}

// grant lets a request of each workspace wait, and charges the one that goes first.
func grant(s *fairshare.Scheduler, now time.Time, entry fairshare.Entry, weights ...float64) int {
	s.Begin(now)
	best, bestStart := 0, math.Inf(1)
	for i, weight := range weights {
		if first := s.Start(entry, claimOf(fmt.Sprint(i), weight)); first < bestStart {
			best, bestStart = i, first
		}
	}
	s.Charge(now, bestStart, claimOf(fmt.Sprint(best), weights[best]))
	return best
}

var _ = Describe("Scheduler", func() {
	DescribeTable("divides the grants by weight",
		func(weights []float64, expected []int) {
			s, grants := fairshare.New(options), make([]int, len(weights))
			for i := range 600 {
				grants[grant(s, start.Add(time.Duration(i)*10*time.Millisecond), fairshare.Entry{}, weights...)]++
			}
			for i := range grants {
				Expect(grants[i]).To(BeNumerically("~", expected[i], 12))
			}
		},
		Entry("unequal", []float64{3, 2, 1}, []int{300, 200, 100}),
		Entry("a weight that is not a number, negative or 0 counts as 1", []float64{math.NaN(), -4, 0}, []int{200, 200, 200}),
	)

	// Guards against a workspace that takes the whole capacity after it was idle, and one that is not
	// served after it has used what the others left.
	It("gives neither credit for idle time nor a debt for lent capacity", func() {
		s, idleGrants := fairshare.New(options), 0
		for range 500 {
			grant(s, start, fairshare.Entry{}, 1)
		}
		entry := s.Enter(start)
		for range 20 {
			idleGrants += grant(s, start, entry, 1, 1)
		}
		Expect(idleGrants).To(BeNumerically("~", 10, 1))
	})

	// Guards against a use that grows or no longer decays after a step of the clock.
	It("goes on after the clock has stepped back", func() {
		s, a, b := fairshare.New(options), claimOf("a", 1), claimOf("b", 1)
		s.Charge(start.Add(time.Hour), 0, a)
		s.Charge(start, 0, b)
		Expect(s.Use(start, a).Granted).To(BeNumerically("~", 0.5, 0.01), "no time has passed")
		s.Charge(start.Add(4*time.Second), 0, b)
		Expect(s.Use(start.Add(4*time.Second), a).Granted).To(BeNumerically("<", 0.2))
		Expect(s.Idle(start.Add(40 * time.Second))).To(BeTrue())
	})

	It("keeps a bounded number of workspaces, and forgets them", func() {
		s := fairshare.New(fairshare.Options{HalfLife: time.Second, ForgetAfter: 30 * time.Second, MaxWorkspaces: 2})
		for i := range 5 {
			s.Charge(start, 0, claimOf(fmt.Sprint(i), 1))
		}
		Expect(s.Use(start, claimOf("3", 1)).Granted).To(BeNumerically("~", 0.6, 1e-9), "the account of all others")
		s.Charge(start.Add(31*time.Second), 0, claimOf("5", 1))
		Expect(s.Use(start.Add(31*time.Second), claimOf("5", 1)).Granted).To(BeNumerically("~", 1, 1e-3))
	})
})

// BenchmarkDecide places a waiting request, charges its grant and reads the use of its workspace.
func BenchmarkDecide(b *testing.B) {
	for _, workspaces := range []int{16, 1024} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			s, claims := fairshare.New(options), make([]fairshare.Claim, workspaces)
			for i := range claims {
				claims[i] = claimOf(fmt.Sprint("workspace-", i), 1)
			}
			now := start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				claim := claims[i%workspaces]
				if i%workspaces == 0 {
					now = now.Add(4 * time.Millisecond)
					s.Begin(now)
				}
				s.Charge(now, s.Start(fairshare.Entry{}, claim), claim)
				s.Use(now, claim)
			}
		})
	}
}
