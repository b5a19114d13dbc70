package quota_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/quota"
)

// way is a way to keep a quota at several instances.
type way interface {
	// take decides a request at an instance, and returns how many messages that takes.
	take(now time.Time, instance int, cost float64) (granted bool, messages int)
}

// askOwner asks the owner, instance 0, for each request.
type askOwner struct{ bucket quota.Bucket }

func (w *askOwner) take(now time.Time, instance int, cost float64) (bool, int) {
	messages := 2
	if instance == 0 {
		messages = 0
	}
	return take(&w.bucket, now, workload, cost, 0) > 0, messages
}

// leaseAhead asks the owner, ahead if requests are frequent.
type leaseAhead struct {
	bucket quota.Bucket
	leases []quota.Lease
}

func (w *leaseAhead) take(now time.Time, instance int, cost float64) (bool, int) {
	if instance == 0 {
		return take(&w.bucket, now, workload, cost, 0) > 0, 0
	}
	lease := &w.leases[instance]
	*lease = lease.WithUse(now, cost)
	var spent bool
	if *lease, spent = lease.Spend(now, cost); spent {
		return true, 0
	}
	messages := 2
	var unspent float64
	if *lease, unspent = lease.Expired(now); unspent > 0 {
		w.bucket = w.bucket.Adjust(now, workload, unspent)
		messages++
	}
	granted := take(&w.bucket, now, workload, cost, lease.Ahead(now, cost))
	if granted > cost {
		*lease = lease.WithGrant(now, granted-cost)
	}
	return granted > 0, messages
}

// equalShares gives each instance the same part.
type equalShares struct{ buckets []quota.Bucket }

func (w *equalShares) take(now time.Time, instance int, cost float64) (bool, int) {
	share := workload.Share(len(w.buckets))
	return take(&w.buckets[instance], now, share, cost, 0) > 0, 0
}

// workload is the quota of a workspace whose usual load is 1 in 1.8 of it.
var workload = quota.Limit{Unit: quota.Tokens, PerSecond: 235_000, Burst: 235_000}

const meanCost = 1500.0

// outcomeOf is what a way makes of a load.
type outcomeOf struct {
	// refused is the share of requests refused, messages their number for each request, and worst the
	// most units granted in 8 s, as a share of the quota in that time.
	refused, messages, worst float64
}

// play sends requests at a multiple of the quota's rate for 20 s to random instances.
func play(w way, instances int, load float64) outcomeOf {
	random := rand.New(rand.NewPCG(7, uint64(instances)))
	type spending struct {
		at    time.Time
		units float64
	}
	var spent []spending
	requests, refused, messages := 0, 0, 0
	gap := meanCost / (load * workload.PerSecond)
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Duration(random.ExpFloat64() * gap * float64(time.Second))) {
		cost := meanCost * (0.2 + 1.6*random.Float64())
		granted, sent := w.take(now, random.IntN(instances), cost)
		requests++
		messages += sent
		if !granted {
			refused++
			continue
		}
		spent = append(spent, spending{now, cost})
	}
	const window = 8 * time.Second
	worst, total, first := 0.0, 0.0, 0
	for _, s := range spent {
		total += s.units
		for spent[first].at.Before(s.at.Add(-window)) {
			total -= spent[first].units
			first++
		}
		worst = max(worst, total)
	}
	return outcomeOf{
		refused: float64(refused) / float64(requests), messages: float64(messages) / float64(requests),
		worst: worst / (workload.PerSecond*window.Seconds() + workload.Burst),
	}
}

var _ = Describe("The ways to keep a quota", func() {
	full := func() quota.Bucket { return quota.NewBucket(start, workload.Burst) }
	for _, instances := range []int{7, 71, 291, 330} {
		ways := map[string]func() way{
			"ask for each": func() way { return &askOwner{bucket: full()} },
			"lease ahead":  func() way { return &leaseAhead{bucket: full(), leases: make([]quota.Lease, instances)} },
			"equal shares": func() way {
				w := &equalShares{buckets: make([]quota.Bucket, instances)}
				for i := range w.buckets {
					w.buckets[i] = quota.NewBucket(start, workload.Burst/float64(instances))
				}
				return w
			},
		}
		for _, name := range []string{"ask for each", "lease ahead", "equal shares"} {
			It(fmt.Sprintf("never exceed it: %s at %d instances", name, instances), func() {
				usual, hot := play(ways[name](), instances, 1/1.8), play(ways[name](), instances, 6/1.8)
				GinkgoWriter.Printf("%-13s %3d instances: usual load: refused %.3f, messages %.2f; six times as much: refused %.3f, messages %.2f, worst window %.3f\n",
					name, instances, usual.refused, usual.messages, hot.refused, hot.messages, hot.worst)
				Expect(max(usual.worst, hot.worst)).To(BeNumerically("<=", 1.1))
				if name != "equal shares" {
					Expect(usual.refused).To(BeZero(), "nothing within the quota is refused")
				}
			})
		}
	}
})
