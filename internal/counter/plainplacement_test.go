package counter_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/permit"
)

// plainObjective is the objective of requests to the plain service.
const plainObjective = 300 * time.Millisecond

// plainOwner is the owner of a group of four plain upstreams with six slots each, among 87 instances.
type plainOwner struct {
	counter.Instance
	pool  counter.UpstreamPool
	peers []netip.AddrPort
}

func newPlainOwner() *plainOwner {
	among := instanceAddresses(87)
	pool := counter.NewUpstreamPool("here", lease)
	for i := range 4 {
		plain := engineRecord(fmt.Sprint("u", i), "here", start)
		plain.Announcement.Load.MaxRunning = 6
		pool.Apply(start, plain)
	}
	return &plainOwner{counter.NewInstance(pool, among[0], among), pool, among[1:]}
}

// peerOf returns the instance that sends the request with an ID.
func (o *plainOwner) peerOf(id permit.ID) netip.AddrPort {
	return o.peers[int(id)%len(o.peers)]
}

// request receives a peer's request to the first group and returns the messages sent.
func (o *plainOwner) request(id permit.ID, change ...func(*permit.Request)) []counter.SentMessage {
	return o.requestAt(start, id, change...)
}

func (o *plainOwner) requestAt(now time.Time, id permit.ID, change ...func(*permit.Request)) []counter.SentMessage {
	m := permit.Request{ID: id, Service: "pool", Adapter: "0", Objective: plainObjective, Remaining: 800 * time.Millisecond}
	for _, apply := range change {
		apply(&m)
	}
	return o.Receive(now, o.peerOf(id), m)
}

// fill grants all places, with IDs from 1 to 28.
func (o *plainOwner) fill() {
	for id := permit.ID(1); id <= 28; id++ {
		o.request(id)
	}
}

// release receives the end of a request that took 60 ms and returns the messages sent.
func (o *plainOwner) release(id permit.ID, outcome permit.Outcome) []counter.SentMessage {
	return o.releaseAt(start, id, outcome)
}

func (o *plainOwner) releaseAt(now time.Time, id permit.ID, outcome permit.Outcome) []counter.SentMessage {
	return o.Receive(now, o.peerOf(id), permit.Release{ID: id, Outcome: outcome, RunTime: 60 * time.Millisecond})
}

var _ = Describe("the instance that owns a group of plain upstreams", func() {
	var owner *plainOwner

	BeforeEach(func() {
		owner = newPlainOwner()
	})

	// Each of 86 instances sees idle upstreams, and together they send more than the upstreams queue.
	It("grants the slots and a short queue, and rejects at once what would start too late", func() {
		owner.fill()
		for id := permit.ID(1); id <= 28; id++ {
			owner.release(id, permit.Succeeded)
		}
		granted, queued, rejected := map[string]int{}, 0, 0
		for id := permit.ID(101); id <= 300; id++ {
			switch m := owner.request(id)[0].Message.(type) {
			case permit.Granted:
				granted[m.Upstream]++
			case permit.Queued:
				queued++
			case permit.Rejected:
				rejected++
				Expect(m.RetryAfter).To(BeNumerically("~", 150*time.Millisecond, 100*time.Millisecond))
			}
		}
		Expect(granted).To(Equal(map[string]int{"u0": 7, "u1": 7, "u2": 7, "u3": 7}))
		Expect(queued).To(BeNumerically("~", 82, 8), "210 ms at 400 requests per second")
		Expect(rejected).To(Equal(200 - 28 - queued))
	})

	// A free place that is granted with the next dispatch only is idle for 2 ms of 60.
	It("grants a free place at once, the most urgent request first", func() {
		owner.fill()
		owner.request(101, func(m *permit.Request) { m.Priority = 2 })
		owner.request(102, func(m *permit.Request) { m.Priority = 1 })
		sent := owner.release(1, permit.Succeeded)
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].To).To(Equal(owner.peerOf(102)))
		Expect(sent[0].Message).To(BeAssignableToTypeOf(permit.Granted{}))
	})

	// The upstream that has failed a request would fail it again.
	It("lets a request wait rather than send it where it has failed", func() {
		owner.fill()
		failed := owner.request(1)[0].Message.(permit.Granted).Upstream
		owner.release(1, permit.Failed)
		sent := owner.request(101, func(m *permit.Request) { m.Tried = []string{failed} })
		Expect(sent[0].Message).To(Equal(permit.Queued{ID: 101}))
	})

	// A process that is gone refuses connections at once, and would attract all requests.
	It("grants no upstream that keeps failing while others are available", func() {
		owner.fill()
		failures := 0
		for id := permit.ID(1); ; id++ {
			granted, ok := owner.request(id)[0].Message.(permit.Granted)
			if !ok {
				break
			}
			if granted.Upstream == "u0" {
				failures++
				owner.release(id, permit.Failed)
			}
		}
		Expect(failures).To(Equal(12))
	})

	DescribeTable("handles failures of instances and links",
		func(prepare func(), id permit.ID, group string, want permit.Message) {
			owner.fill()
			prepare()
			sent := owner.request(id, func(m *permit.Request) { m.Adapter = group })
			Expect(sent[0].Message).To(BeAssignableToTypeOf(want))
		},
		Entry("the answer was lost", func() {}, permit.ID(5), "0", permit.Granted{}),
		Entry("the release came twice", func() { owner.release(1, permit.Succeeded); owner.release(1, permit.Succeeded); owner.request(50) },
			permit.ID(101), "0", permit.Queued{}),
		Entry("the release was lost", func() { owner.ExpirePermits(start.Add(time.Second)) }, permit.ID(101), "0", permit.Granted{}),
		Entry("this instance stops", func() { owner.Drain() }, permit.ID(101), "0", permit.ShuttingDown{}),
		Entry("the peer knows more groups", func() { owner.release(1, permit.Succeeded) }, permit.ID(101), "7", permit.Granted{}),
	)

	// An instance that no owner answers must not send as if it were alone.
	It("sends no more than its share when it decides alone", func() {
		queue := counter.NewQueue(owner.pool, len(owner.peers))
		granted := 0
		for range 20 {
			if counter.Granted(queue.EnqueuePlain(start, plainObjective)) {
				granted++
			}
		}
		Expect(granted).To(Equal(4))
	})
})

var _ = Describe("entry instances that share a plain upstream", func() {
	// Without the batch route the instances are those of earlier deployments, which must not change.
	DescribeTable("keep to its limit together", func(content string, concurrent int32) {
		var running atomic.Int32
		release := make(chan struct{})
		u := newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
			running.Add(1)
			<-release
			succeed(w, r)
		})
		respond := sync.OnceFunc(func() { close(release) })
		DeferCleanup(respond)
		group := newPeerGroup(3)
		group.control.announce("u", u.address())
		group.control.commit(content)
		group.waitUntilKnown(1)
		for _, p := range group.peers {
			Eventually(p.proxy.MixesUrgency, specTimeout).Should(Equal(content != ""))
		}
		var answered atomic.Int32
		var requests sync.WaitGroup
		for i := range 27 {
			requests.Go(func() {
				request := httptest.NewRequest(http.MethodPost, "http://spec.test/look/x", nil)
				request.Header.Set(idHeader, "r")
				recorder := httptest.NewRecorder()
				group.peers[i%3].proxy.ServeRequest(recorder, request, counter.Call{ID: "r", Timeout: specTimeout})
				if recorder.Code == http.StatusOK {
					answered.Add(1)
				}
			})
		}
		Eventually(running.Load, specTimeout).Should(Equal(concurrent))
		Consistently(running.Load, 50*time.Millisecond).Should(Equal(concurrent))
		respond()
		requests.Wait()
		Expect(answered.Load()).To(BeNumerically(">=", concurrent))
	},
		Entry("with batch routes: eight slots and one more", withBatchRoute, int32(9)),
		Entry("without batch routes", "", int32(27)),
	)
})

// BenchmarkAnswerPlain handles a request for a plain upstream and a release at the owner, while 80 wait.
func BenchmarkAnswerPlain(b *testing.B) {
	owner := newPlainOwner()
	id := permit.ID(0)
	for ; id < 108; id++ {
		owner.request(id)
	}
	b.ReportAllocs()
	for b.Loop() {
		owner.request(id)
		owner.release(id-108, permit.Succeeded)
		id++
	}
}
