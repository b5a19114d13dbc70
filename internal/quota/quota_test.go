package quota_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lovagelift/lovagelift/internal/quota"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

var limit = quota.Limit{Unit: quota.Tokens, PerSecond: 1000, Burst: 2000, DefaultTokens: 200}

// take takes units from a bucket and returns the units granted, 0 if denied.
func take(bucket *quota.Bucket, now time.Time, l quota.Limit, need, ahead float64) float64 {
	var decision quota.Decision
	*bucket, decision = bucket.Take(now, l, need, ahead)
	granted, _ := decision.(quota.Granted)
	return granted.Units
}

var _ = Describe("Limit", func() {
	DescribeTable("counts a request by its unit",
		func(l quota.Limit, size quota.Size, cost float64) {
			Expect(l.Cost(size)).To(Equal(cost))
		},
		Entry("requests", quota.Limit{PerSecond: 5}, quota.Size{Tokens: 700, Stated: true}, 1.0),
		Entry("tokens", limit, quota.Size{Tokens: 700, Stated: true}, 700.0),
		Entry("no tokens stated", limit, quota.Size{}, 200.0),
		Entry("no tokens", limit, quota.Size{Stated: true}, 0.0),
	)

	DescribeTable("is invalid with a number that is none",
		func(number float64) {
			Expect(quota.Limit{PerSecond: number}.Valid()).To(BeFalse())
			Expect(quota.Limit{Burst: number}.Valid()).To(BeFalse())
			Expect(quota.Limit{DefaultTokens: number}.Valid()).To(BeFalse())
		},
		Entry("negative", -1.0), Entry("infinite", math.Inf(1)), Entry("not a number", math.NaN()),
	)
})

var _ = Describe("Bucket", func() {
	It("grants the burst at once and then the rate", func() {
		b := quota.NewBucket(start, limit.Burst)
		Expect(take(&b, start, limit, 1500, 0)).To(Equal(1500.0))
		Expect(take(&b, start, limit, 600, 0)).To(BeZero())
		Expect(take(&b, start.Add(100*time.Millisecond), limit, 600, 0)).To(Equal(600.0))
	})

	It("grants a request that costs more than the burst, and then nothing until that is made up for", func() {
		b := quota.NewBucket(start, limit.Burst)
		Expect(take(&b, start, limit, 5000, 0)).To(Equal(5000.0))
		Expect(take(&b, start.Add(3*time.Second), limit, 1, 0)).To(BeZero())
		Expect(take(&b, start.Add(3010*time.Millisecond), limit, 1, 0)).To(Equal(1.0))
	})

	It("says so once a workspace has used up most of its burst", func() {
		b := quota.NewBucket(start, limit.Burst)
		b, decision := b.Take(start, limit, 1500, 0)
		Expect(decision).To(Equal(quota.Granted{Units: 1500}))
		_, decision = b.Take(start, limit, 1, 0)
		Expect(decision).To(Equal(quota.Granted{Units: 1, Scarce: true}))
	})

	It("grants nothing ahead from the lower half of the burst", func() {
		b := quota.NewBucket(start, limit.Burst)
		Expect(take(&b, start, limit, 100, 5000)).To(Equal(1000.0))
		Expect(take(&b, start, limit, 100, 5000)).To(Equal(100.0))
	})

	// Guards against callers who come back together when they were told to, and are denied again.
	It("tells each denied request to come back after those before it", func() {
		b := quota.NewBucket(start, 0)
		var waits []time.Duration
		for range 3 {
			var decision quota.Decision
			b, decision = b.Take(start, limit, 500, 0)
			waits = append(waits, decision.(quota.Denied).Wait)
		}
		Expect(waits).To(Equal([]time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond}))
	})

	It("holds no more than a burst that was lowered", func() {
		b := quota.NewBucket(start, limit.Burst)
		lower := limit
		lower.PerSecond, lower.Burst = 10, 20
		Expect(take(&b, start, lower, 20, 0)).To(Equal(20.0))
		Expect(take(&b, start, lower, 20, 0)).To(BeZero())
	})

	It("takes back what was not spent, up to the burst", func() {
		b := quota.NewBucket(start, 0).Adjust(start, limit, 5000)
		Expect(take(&b, start, limit, 2000, 0)).To(Equal(2000.0))
		Expect(take(&b, start, limit, 1, 0)).To(BeZero())
	})

	It("owes what was spent without being granted", func() {
		b := quota.NewBucket(start, 100).Adjust(start, limit, -600)
		Expect(take(&b, start.Add(400*time.Millisecond), limit, 1, 0)).To(BeZero())
		Expect(take(&b, start.Add(510*time.Millisecond), limit, 10, 0)).To(Equal(10.0))
	})
})

var _ = Describe("Tolerance", func() {
	It("lets a new owner start with half of the tolerated excess, but not more than the burst", func() {
		t := quota.Tolerance{Window: 8 * time.Second, Overage: 0.1, Slack: 100}
		Expect(t.InitialUnits(limit)).To(BeNumerically("~", 550))
		shares := 71 * t.Share(71).InitialUnits(limit.Share(71))
		Expect(shares).To(BeNumerically("~", 550), "all instances without an owner together")
		Expect(quota.Tolerance{Slack: 1e6}.InitialUnits(limit)).To(Equal(limit.Burst))
		Expect(quota.Tolerance{}.InitialUnits(limit)).To(BeZero())
	})
})

var _ = Describe("Lease", func() {
	It("asks for nothing ahead while requests are rare", func() {
		lease := quota.Lease{}.WithUse(start, 300)
		Expect(lease.Ahead(start, 300)).To(BeZero())
	})

	It("asks for the use of a quarter of a second while requests are frequent, and spends it in that time", func() {
		lease := quota.Lease{}
		now := start
		for range 400 {
			now = now.Add(5 * time.Millisecond)
			lease = lease.WithUse(now, 10)
		}
		ahead := lease.Ahead(now, 10)
		Expect(ahead).To(BeNumerically("~", 500, 100))
		lease = lease.WithGrant(now, ahead)
		_, spent := lease.Spend(now.Add(100*time.Millisecond), 10)
		Expect(spent).To(BeTrue())
		_, spent = lease.Spend(now.Add(250*time.Millisecond), 10)
		Expect(spent).To(BeFalse())
		_, rest := lease.Expired(now.Add(250 * time.Millisecond))
		Expect(rest).To(Equal(ahead))
	})
})

// In any period, a bucket grants at most its rate over that period, its burst, and what
// requests beyond the burst cost.
func TestBucketNeverExceedsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := quota.Limit{
			PerSecond: rapid.Float64Range(1, 1e5).Draw(t, "rate"),
			Burst:     rapid.Float64Range(1, 1e5).Draw(t, "burst"),
		}
		now := start
		b := quota.NewBucket(now, l.Burst)
		type spending struct {
			at    time.Time
			units float64
		}
		var spent []spending
		largest := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			need := rapid.Float64Range(0, 2*l.Burst).Draw(t, "need")
			ahead := rapid.Float64Range(0, l.Burst).Draw(t, "ahead")
			granted := take(&b, now, l, need, ahead)
			largest = max(largest, need)
			if granted == 0 {
				continue
			}
			if rapid.IntRange(0, 3).Draw(t, "unused") == 0 {
				b = b.Adjust(now, l, granted)
				continue
			}
			spent = append(spent, spending{now, granted})
		}
		for i, first := range spent {
			total := 0.0
			for _, later := range spent[i:] {
				total += later.units
				bound := l.PerSecond*later.at.Sub(first.at).Seconds() + l.Burst + max(largest-l.Burst, 0)
				if total > bound*(1+1e-9)+1e-6 {
					t.Fatalf("%g units in %s, more than %g", total, later.at.Sub(first.at), bound)
				}
			}
		}
	})
}

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}
