package counter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// versionedPool has an engine of v2 that holds the model "m", and one of v1 that holds another one.
func versionedPool() counter.UpstreamPool {
	pool := counter.NewUpstreamPool("here", lease)
	for version, model := range map[string]string{"v1": "other", "v2": "m"} {
		engine := engineRecord("e-"+version, "here", start, model)
		engine.Announcement.SoftwareVersion = version
		engine.Announcement.Load.MaxRunning = 1
		pool.Apply(start, engine)
	}
	return pool
}

// A holder of another version does not serve them, so the plan must know the version.
var _ = It("Streams whose version lacks the model are reported as waiting at that version", func() {
	queue := counter.NewQueue(versionedPool(), 1)
	Expect(counter.Granted(queue.Enqueue(start, "m", time.Second))).To(BeTrue())
	queue.Enqueue(start, "m", time.Second)
	waiting := queue.EnqueueBound(start, "m", "v1")
	queue.EnqueueBound(start, "m", "v1")
	queue.EnqueueBound(start, "m", "v2")
	Expect(queue.Demand(start)).To(Equal(map[string]courier.Demand{
		"":   {Service: "pool", Model: "m", Waiting: 2},
		"v1": {Service: "pool", Model: "m", Software: resumption.BoundTo("v1"), Waiting: 2},
	}))
	queue.Dequeue(waiting)
	Expect(queue.Demand(start)["v1"].Waiting).To(Equal(1))
})
