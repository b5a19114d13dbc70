package counter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/quota"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

var _ = Describe("The requests of several workspaces for a model", func() {
	const objective = 800 * time.Millisecond
	const engines = 6
	// backoff exceeds the random backoff before a prompt is sent to an engine that a peer uses, too.
	const backoff = 20 * time.Millisecond
	var pool counter.UpstreamPool
	var queue counter.Queue

	setLoad := func(now time.Time, active int) {
		for i := range engines {
			pool.PeerActive(now, fmt.Sprint("e", i), active, 1)
		}
	}

	BeforeEach(func() {
		pool = counter.NewUpstreamPool("here", lease)
		for i := range engines {
			addSmallEngine(pool, fmt.Sprint("e", i), "m", "n")
		}
		queue = counter.NewQueue(pool, 1)
		setLoad(start, 12)
	})

	// enqueue adds requests of a workspace, and returns a function that counts those granted.
	enqueue := func(count int, add func() func() bool) (granted func() int) {
		var each []func() bool
		for range count {
			each = append(each, add())
		}
		return func() int {
			sum := 0
			for _, isGranted := range each {
				if isGranted() {
					sum++
				}
			}
			return sum
		}
	}
	shared := func(name string) func() func() bool {
		return func() func() bool {
			w := queue.EnqueueShared(start, "m", objective, name)
			return func() bool { return counter.Granted(w) }
		}
	}

	// Guards against a dispatch in which the workspace with the most waiting requests takes all that
	// becomes free, because the first grant is not charged before the second one is decided.
	DescribeTable("divide what becomes free in one dispatch",
		func(largeWeight float64, expected int) {
			Expect(queue.SetWorkspaces(
				workspace.Workspace{Name: "large", Quota: quota.Limit{PerSecond: largeWeight * 500}},
				workspace.Workspace{Name: "small", Quota: quota.Limit{PerSecond: 500}},
			)).To(Succeed())
			large := enqueue(100, shared("large"))
			small := enqueue(20, shared("small"))
			setLoad(start, 0)
			queue.Dispatch(start.Add(backoff))
			Expect(large()+small()).To(Equal(engines), "each engine takes one prompt")
			Expect(small()).To(Equal(expected))
		},
		Entry("equally", 1.0, 3),
		Entry("by the quotas", 2.0, 2),
	)

	It("are granted by their time alone if the routes do not mix batch and interactive work", func() {
		add := func() func() bool {
			w := queue.Enqueue(start, "m", objective)
			return func() bool { return counter.Granted(w) }
		}
		first, second := enqueue(100, add), enqueue(20, add)
		setLoad(start, 0)
		queue.Dispatch(start.Add(backoff))
		Expect([]int{first(), second()}).To(Equal([]int{engines, 0}))
		Expect(queue.SharedModels()).To(BeZero())
	})

	// Guards against a model whose requests wait for those of another model at the same engines because
	// its workspaces have used more.
	It("keep the places of the model among others", func() {
		enqueue(6, shared("large"))
		setLoad(start, 0)
		queue.Dispatch(start.Add(backoff))
		now := start.Add(time.Second)
		setLoad(now, 12)
		used := []func() bool{}
		for _, name := range []string{"large", "other"} {
			w := queue.EnqueueShared(now, "m", objective, name)
			used = append(used, func() bool { return counter.Granted(w) })
		}
		fresh := enqueue(6, func() func() bool {
			w := queue.EnqueueShared(now.Add(time.Millisecond), "n", objective, "large")
			return func() bool { return counter.Granted(w) }
		})
		setLoad(now, 0)
		queue.Dispatch(now.Add(backoff))
		Expect([]bool{used[0](), used[1]()}).To(Equal([]bool{true, true}))
		Expect(fresh()).To(Equal(engines - 2))
	})

	// Guards against small workspaces whose requests are rejected because of the many requests of a
	// large one, whose callers retry immediately.
	It("are rejected only if their own workspace exceeds its share", func() {
		largeRejected := 0
		for range 400 {
			if rejected, _ := queue.RejectOrWait(start, queue.EnqueueShared(start, "m", objective, "large")); rejected {
				largeRejected++
			}
		}
		Expect(largeRejected).To(BeNumerically(">", 200))
		for i := range 15 {
			rejected, _ := queue.RejectOrWait(start, queue.EnqueueShared(start, "m", objective, fmt.Sprint("small-", i)))
			Expect(rejected).To(BeFalse())
		}
	})

	// Guards against requests of other instances that do not take part in the shares.
	It("are told the use of their workspace if another instance places them", func() {
		instances := instanceAddresses(2)
		model := modelOwnedBy("pool", instances[0], instances...)
		pool.ApplyEngineStates(start, courier.EngineStates{Engines: []courier.EngineState{{Name: "e0", Models: []courier.LoadedModel{{Name: model}}}}})
		owner := counter.NewInstance(pool, instances[0], instances)
		metrics, err := owner.SetWorkspaces(workspace.Workspace{Name: "large"}, workspace.Workspace{Name: "small"})
		Expect(err).NotTo(HaveOccurred())
		setLoad(start, 0)
		ask := func(id int, name string) permit.Message {
			m := askMessage(permit.ID(id), model)
			m.Workspace = name
			sent := owner.Receive(start.Add(backoff), instances[1], m)
			return sent[len(sent)-1].Message
		}
		Expect(ask(1, "large")).To(BeAssignableToTypeOf(permit.Granted{}))
		var last permit.Message
		for id := range 300 {
			last = ask(id+2, "large")
		}
		Expect(last).To(BeAssignableToTypeOf(permit.Rejected{}))
		Expect(last.(permit.Rejected).RelativeUse).To(BeNumerically("~", 1, 1e-3))
		Expect(ask(400, "small")).To(BeAssignableToTypeOf(permit.Queued{}))
		counters := metrics.Snapshot().Counters()
		Expect(counters["counter.workspace_engine_microseconds+workspace=large"].Value()).To(BeNumerically(">", 0))
		Expect(counters["counter.workspace_rejections+workspace=large"].Value()).To(BeNumerically(">", 100))
	})

	It("leave no state for models that no upstream has loaded, and for models that are no longer requested", func() {
		queue.EnqueueShared(start, "unknown", objective, "large")
		Expect(queue.SharedModels()).To(BeZero())
		setLoad(start, 0)
		queue.EnqueueShared(start, "m", objective, "large")
		Expect(queue.SharedModels()).To(Equal(1))
		queue.Dispatch(start.Add(time.Minute))
		Expect(queue.SharedModels()).To(BeZero())
	})

	It("log the workspace that is held back, its use, share and weight once a second", func() {
		log := queue.Log()
		setLoad(start, 0)
		for _, name := range []string{"large", "large", "large", "small"} {
			queue.EnqueueShared(start, "m", objective, name)
		}
		setLoad(start, 12)
		use := 0.0
		for range 300 {
			_, use = queue.RejectOrWait(start, queue.EnqueueShared(start, "m", objective, "large"))
		}
		Expect(use).To(BeNumerically("~", 1.5, 1e-9))
		Expect(log.String()).To(And(ContainSubstring(`"workspace":"large"`), ContainSubstring(`"use":0.75,"share":0.5,"weight":1,"use-to-mean":1.5`)))
		Expect(strings.Count(log.String(), "\n")).To(Equal(1))
	})
})

// BenchmarkShares dispatches 200 requests of 16 workspaces that wait for full engines.
func BenchmarkShares(b *testing.B) {
	for _, workspaces := range []int{0, 1, 16} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			pool := poolOf(240)
			for i := range 240 {
				pool.PeerActive(start, fmt.Sprint("e", i), 12, 1)
			}
			queue := counter.NewQueue(pool, 1)
			for i := range 200 {
				arrived := start.Add(time.Duration(i) * time.Millisecond)
				if workspaces == 0 {
					queue.Enqueue(arrived, "model-7", 800*time.Millisecond)
				} else {
					queue.EnqueueShared(arrived, "model-7", 800*time.Millisecond, fmt.Sprint("w", i%workspaces))
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				queue.Dispatch(start.Add(200 * time.Millisecond))
			}
		})
	}
}
