package counter_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/quota"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

var _ = Describe("The requests of several workspaces for a model", func() {
	const engines = 6
	// backoff exceeds the random backoff before a prompt is sent to an engine that a peer uses, too.
	const backoff = 20 * time.Millisecond
	instances := instanceAddresses(2)
	model := modelOwnedBy("pool", instances[0], instances...)
	var pool counter.UpstreamPool
	var queue counter.Queue

	setLoad := func(now time.Time, active int) {
		for i := range engines {
			pool.PeerActive(now, fmt.Sprint("e", i), active, 1)
		}
	}

	// enqueue adds requests of a workspace, and returns a function that counts those granted.
	enqueue := func(now time.Time, count int, model, name string, mixed bool) (granted func() int) {
		var isGranted []func() bool
		for range count {
			w := queue.EnqueueShared(now, model, name, mixed)
			isGranted = append(isGranted, func() bool { return counter.Granted(w) })
		}
		return func() (sum int) {
			for _, is := range isGranted {
				if is() {
					sum++
				}
			}
			return sum
		}
	}

	BeforeEach(func() {
		pool = counter.NewUpstreamPool("here", lease)
		for i := range engines {
			addSmallEngine(pool, fmt.Sprint("e", i), model, "n")
		}
		queue = counter.NewQueue(pool, 1)
		setLoad(start, 12)
	})

	// Guards against a dispatch in which the workspace with the most waiting requests takes all that
	// becomes free, because the first grant is not charged before the second one is decided.
	DescribeTable("divide what becomes free in one dispatch",
		func(mixed bool, largeQuota float64, expected int) {
			Expect(queue.SetWorkspaces(
				workspace.Workspace{Name: "large", Quota: quota.Limit{PerSecond: largeQuota}},
				workspace.Workspace{Name: "small", Quota: quota.Limit{PerSecond: 500}},
			)).To(Succeed())
			large, small := enqueue(start, 100, model, "large", mixed), enqueue(start, 20, model, "small", mixed)
			setLoad(start, 0)
			queue.Dispatch(start.Add(backoff))
			Expect(large()+small()).To(Equal(engines), "each engine takes one prompt")
			Expect(small()).To(Equal(expected))
		},
		Entry("equally", true, 500.0, 3),
		Entry("by the quotas", true, 1000.0, 2),
		Entry("by time alone if the routes do not mix batch and interactive work", false, 500.0, 0),
	)

	// Guards against a model whose requests go before or after those of another model at the same engines
	// because of what its workspaces have used.
	It("keep the places of the model among others", func() {
		setLoad(start, 0)
		enqueue(start, 6, model, "large", true)
		now := start.Add(time.Second)
		setLoad(now, 12)
		first := enqueue(now, 1, model, "large", true)
		second := enqueue(now.Add(time.Millisecond), 4, "n", "large", true)
		third := enqueue(now.Add(2*time.Millisecond), 3, model, "other", true)
		setLoad(now, 0)
		queue.Dispatch(now.Add(backoff))
		Expect([]int{first() + third(), second()}).To(Equal([]int{2, 4}))
	})

	// Guards against small workspaces whose requests are rejected because of the many requests of a
	// large one, whose callers retry immediately, and against requests of other instances that do not
	// take part in the shares.
	It("are rejected only if their own workspace exceeds its share", func() {
		owner := counter.NewInstance(pool, instances[0], instances)
		Expect(owner.Queue().SetWorkspaces()).To(Succeed())
		metrics, log := owner.Observe()
		id := permit.ID(0)
		ask := func(name string) permit.Message {
			id++
			m := askMessage(id, model)
			m.Workspace = name
			sent := owner.Receive(start.Add(backoff), instances[1], m)
			return sent[len(sent)-1].Message
		}
		setLoad(start, 0)
		for _, name := range []string{"large", "large", "large", "small-0"} {
			Expect(ask(name)).To(BeAssignableToTypeOf(permit.Granted{}))
		}
		setLoad(start.Add(backoff), 12)
		var last permit.Message
		for range 300 {
			last = ask("large")
		}
		Expect(last).To(BeAssignableToTypeOf(permit.Rejected{}))
		Expect(last.(permit.Rejected).RelativeUse).To(BeNumerically("~", 1.5, 1e-3))
		for i := range 15 {
			Expect(ask(fmt.Sprint("small-", i))).To(BeAssignableToTypeOf(permit.Queued{}))
		}
		Expect(strings.Count(log.String(), "\n")).To(Equal(1), "lines a second")
		Expect(log.String()).To(ContainSubstring(`"use":0.75,"share":0.5,"weight":1,"use-to-mean":1.5`))
		counters := metrics.Snapshot().Counters()
		Expect(counters["counter.workspace_engine_microseconds+workspace=large"].Value()).To(BeNumerically(">", 0))
		Expect(counters["counter.workspace_rejections+workspace=large"].Value()).To(BeNumerically(">", 100))
	})

	It("leave no state for models that no upstream has loaded, and for models that are no longer requested", func() {
		enqueue(start, 1, "unknown", "large", true)
		Expect(queue.SharedModels()).To(BeZero())
		setLoad(start, 0)
		enqueue(start, 1, model, "large", true)
		Expect(queue.SharedModels()).To(Equal(1))
		queue.Dispatch(start.Add(time.Minute))
		Expect(queue.SharedModels()).To(BeZero())
	})
})
