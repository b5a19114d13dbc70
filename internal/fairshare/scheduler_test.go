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

var options = fairshare.Options{HalfLife: 2 * time.Second, ForgetAfter: 30 * time.Second, MaxWorkspaces: 1024}

var start = time.Unix(1000, 0)

func claimOf(workspace string, weight float64) fairshare.Claim {
	return fairshare.Claim{Workspace: workspace, Weight: weight, Cost: 100 * time.Millisecond}
}

// grantLowest lets each claim wait for a request at now, and charges the one that goes first.
func grantLowest(s *fairshare.Scheduler, now time.Time, entries []fairshare.Entry, claims ...fairshare.Claim) int {
	s.Begin(now)
	best, bestStart := 0, math.Inf(1)
	for i, claim := range claims {
		if first := s.Start(entries[i], claim); first < bestStart {
			best, bestStart = i, first
		}
	}
	s.Charge(now, bestStart, claims[best])
	return best
}

var _ = Describe("Scheduler", func() {
	DescribeTable("divides the grants by weight",
		func(weights []float64, expected []int) {
			s := fairshare.New(options)
			var claims []fairshare.Claim
			for i, weight := range weights {
				claims = append(claims, claimOf(fmt.Sprint(i), weight))
			}
			grants := make([]int, len(weights))
			for i := range 600 {
				grants[grantLowest(s, start.Add(time.Duration(i)*10*time.Millisecond), make([]fairshare.Entry, len(claims)), claims...)]++
			}
			for i := range grants {
				Expect(grants[i]).To(BeNumerically("~", expected[i], 12))
			}
		},
		Entry("equal", []float64{1, 1, 1}, []int{200, 200, 200}),
		Entry("unequal", []float64{3, 2, 1}, []int{300, 200, 100}),
		Entry("a weight that is not a number, negative or 0 counts as 1", []float64{math.NaN(), -4, 0}, []int{200, 200, 200}),
	)

	// Guards against a workspace that is idle and then takes the whole capacity, and one that is never
	// served again after it has used idle capacity.
	It("gives neither credit for idle time nor a debt for lent capacity", func() {
		s := fairshare.New(options)
		busy, idle := claimOf("busy", 1), claimOf("idle", 1)
		now := start
		for range 500 {
			now = now.Add(10 * time.Millisecond)
			grantLowest(s, now, make([]fairshare.Entry, 1), busy)
		}
		entries := []fairshare.Entry{{}, s.Enter(now)}
		idleGrants := 0
		for range 20 {
			idleGrants += grantLowest(s, now, entries, busy, idle)
		}
		Expect(idleGrants).To(BeNumerically("~", 10, 1))
	})

	// Guards against a use that grows or does not decay any more after a step of the clock, which would
	// starve the workspace.
	It("goes on after the clock has stepped back and forth", func() {
		s := fairshare.New(options)
		a, b := claimOf("a", 1), claimOf("b", 1)
		s.Charge(start.Add(time.Hour), 0, a)
		before := s.Use(start.Add(time.Hour), a).Granted
		s.Charge(start, 0, b)
		Expect(s.Use(start, a).Granted).To(BeNumerically("~", before/2, 0.01), "no time has passed")
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
		Expect(s.Use(start.Add(31*time.Second), claimOf("0", 1)).Granted).To(BeZero())
	})
})

// BenchmarkOrder orders one request of each of several workspaces and charges one: the cost for each
// request is that of one Start.
func BenchmarkOrder(b *testing.B) {
	for _, workspaces := range []int{1, 16, 1024} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			s := fairshare.New(options)
			claims := make([]fairshare.Claim, workspaces)
			for i := range claims {
				claims[i] = claimOf(fmt.Sprint("workspace-", i), 1)
				s.Charge(start, 0, claims[i])
			}
			now := start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%workspaces == 0 {
					now = now.Add(4 * time.Millisecond)
					s.Begin(now)
				}
				claim := claims[i%workspaces]
				first := s.Start(fairshare.Entry{}, claim)
				s.Charge(now, first, claim)
				s.Use(now, claim)
			}
		})
	}
}
