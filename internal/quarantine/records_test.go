package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// cluster is the records of a cluster with the news of one control instance.
type cluster struct {
	now      time.Time
	records  quarantine.Records
	bulletin *quarantine.Bulletin
}

func newCluster(limits quarantine.Limits) *cluster {
	return &cluster{now: time.Unix(1_000_000, 0).UTC(), bulletin: quarantine.NewBulletin(limits)}
}

// crash has an upstream end under requests.
func (w *cluster) crash(upstream string, suspects ...quarantine.Suspect) {
	w.apply(quarantine.Update{Reports: []quarantine.Report{{Lifetime: lifetime(upstream), Suspects: suspects}}})
}

func (w *cluster) apply(update quarantine.Update) {
	update.Now = w.now
	w.records = w.records.With(update)
	w.news()
}

func (w *cluster) news() quarantine.News {
	return w.bulletin.News(w.now, w.records)
}

// held are the bodies among some that are in quarantine.
func (w *cluster) held(bodies ...string) []string {
	var held []string
	for _, body := range bodies {
		for _, entry := range w.news().Quarantined {
			if entry.Digest == digest(body) {
				held = append(held, body)
			}
		}
	}
	return held
}

func answering(body string) quarantine.Suspect {
	s := suspect(body)
	s.Answering = true
	return s
}

var _ = Describe("Records", func() {
	var w *cluster

	BeforeEach(func() {
		w = newCluster(quarantine.Limits{})
	})

	It("quarantine a request under which three upstreams have ended", func() {
		w.crash("e1", suspect("bad"), answering("a"), answering("b"))
		w.crash("e2", suspect("bad"), answering("c"), suspect("d"))
		Expect(w.held("bad")).To(BeEmpty())
		w.crash("e3", suspect("bad"), answering("e"))
		Expect(w.held("bad", "a", "b", "c", "d", "e")).To(Equal([]string{"bad"}))
	})

	It("count a crash once, however many instances tell of it", func() {
		for n := range 10 {
			s := suspect("bad")
			s.Request = fmt.Sprint("r", n)
			w.crash("e1", s)
			w.crash("e2", s)
		}
		Expect(w.held("bad")).To(BeEmpty())
	})

	// A request that is sent again after each crash may meet the one that crashes engines
	// time and again.
	It("hold responsible who was at more of the crashes, and nobody else", func() {
		w.crash("e1", suspect("bad"), suspect("unlucky"))
		w.crash("e2", suspect("bad"))
		w.crash("e3", suspect("bad"), suspect("unlucky"))
		w.crash("e4", suspect("bad"), suspect("unlucky"))
		Expect(w.held("bad", "unlucky")).To(Equal([]string{"bad"}))
	})

	It("wait for the next crash if two were at the same ones", func() {
		for _, upstream := range []string{"e1", "e2", "e3"} {
			w.crash(upstream, suspect("bad"), suspect("unlucky"))
		}
		Expect(w.held("bad", "unlucky")).To(BeEmpty())
		w.crash("e4", suspect("bad"))
		Expect(w.held("bad", "unlucky")).To(Equal([]string{"bad"}))
	})

	It("hold two responsible that crash engines at the same time", func() {
		for n := range 3 {
			w.crash(fmt.Sprint("e", n), suspect("bad"))
			w.crash(fmt.Sprint("f", n), suspect("worse"))
		}
		Expect(w.held("bad", "worse")).To(Equal([]string{"bad", "worse"}))
	})

	It("hold two responsible that are never apart", func() {
		for n := range 6 {
			w.crash(fmt.Sprint("e", n), suspect("bad"), suspect("worse"))
		}
		Expect(w.held("bad", "worse")).To(Equal([]string{"bad", "worse"}))
	})

	// Upstreams that end for reasons of their own take down streams that have run for
	// seconds; a request that crashes them has mostly just begun.
	It("weigh a request in the middle of its answer half as much", func() {
		for n := range 5 {
			w.crash(fmt.Sprint("e", n), answering("long"))
			Expect(w.held("long")).To(BeEmpty())
		}
		w.crash("e5", answering("long"))
		Expect(w.held("long")).To(Equal([]string{"long"}))
	})

	// Many callers repeat the same body, as those of a status check do: it is at each
	// upstream that ends for a reason of its own, and ends well everywhere else.
	It("clear a request that has ended well", func() {
		for n := range 20 {
			w.crash(fmt.Sprint("e", n), suspect("status check"))
			w.apply(quarantine.Update{Succeeded: []quarantine.Digest{digest("status check")}})
		}
		Expect(w.held("status check")).To(BeEmpty())
		Expect(w.news().Suspected).To(BeEmpty())
	})

	// Some callers repeat a request several times at once, and a failure domain is lost.
	It("count an outage that takes down others as well once", func() {
		for n := range 3 {
			w.crash(fmt.Sprint("e", n), suspect("repeated"), answering(fmt.Sprint("a", n)))
		}
		w.crash("e3", suspect("b"))
		Expect(w.held("repeated")).To(BeEmpty())
		w.now = w.now.Add(time.Minute)
		w.crash("e4", suspect("repeated"))
		Expect(w.held("repeated")).To(BeEmpty())
	})

	It("count each upstream that ends at one moment under a request that is at all of them", func() {
		for n := range 3 {
			w.crash(fmt.Sprint("e", n), suspect("bad"), answering(fmt.Sprint("a", n)))
		}
		Expect(w.held("bad")).To(Equal([]string{"bad"}))
	})

	It("take a crash back that was none", func() {
		w.crash("e1", suspect("a"))
		w.crash("e2", suspect("a"))
		w.crash("e3", suspect("a"))
		w.apply(quarantine.Update{Alive: []quarantine.Lifetime{lifetime("e2")}})
		Expect(w.held("a")).To(BeEmpty())
	})

	It("let an operator lift a quarantine", func() {
		for n := range 3 {
			w.crash(fmt.Sprint("e", n), suspect("bad"))
		}
		w.apply(quarantine.Update{Lifted: []quarantine.Digest{digest("bad")}})
		Expect(w.held("bad")).To(BeEmpty())
	})

	It("end a quarantine after its time, and begin it again at the next crash", func() {
		for n := range 3 {
			w.crash(fmt.Sprint("e", n), suspect("bad"))
		}
		w.now = w.now.Add(quarantine.DefaultRetention - time.Second)
		Expect(w.held("bad")).To(Equal([]string{"bad"}))
		w.now = w.now.Add(2 * time.Second)
		Expect(w.held("bad")).To(BeEmpty())
		w.crash("e9", suspect("bad"))
		Expect(w.held("bad")).To(Equal([]string{"bad"}))
	})

	It("keep by the limits of the operator", func() {
		w = newCluster(quarantine.Limits{Crashes: 2, Retention: time.Minute})
		w.crash("e1", suspect("bad"))
		w.crash("e2", suspect("bad"))
		Expect(w.held("bad")).To(Equal([]string{"bad"}))
		w.now = w.now.Add(time.Minute)
		Expect(w.held("bad")).To(BeEmpty())
	})

	// A caller that floods engines with requests that are all different, while others end
	// for reasons of their own, must not push out one that crashes them.
	It("take bounded memory, and keep those with the most crashes", func() {
		w.crash("e1", suspect("bad"))
		w.crash("e2", suspect("bad"))
		for n := range 40 {
			w.now = w.now.Add(time.Second)
			var flood []quarantine.Suspect
			for m := range 256 {
				flood = append(flood, suspect(fmt.Sprint(n, "-", m)))
			}
			w.crash(fmt.Sprint("f", n), flood...)
		}
		Expect(len(w.records.Cases())).To(BeNumerically("<=", 2048))
		Expect(len(w.records.Snapshot())).To(BeNumerically("<", 512<<10))
		w.crash("e3", suspect("bad"))
		Expect(w.held("bad")).To(Equal([]string{"bad"}))
	})

	It("are the same after a snapshot, and whatever the order of equal reports", func() {
		w.crash("e1", suspect("bad"), answering("a"))
		w.crash("e2", suspect("bad"))
		restored, err := quarantine.Restore(w.records.Snapshot())
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Snapshot()).To(Equal(w.records.Snapshot()))
		w.records = restored
		w.crash("e3", suspect("bad"))
		Expect(w.held("bad")).To(Equal([]string{"bad"}))
		_, err = quarantine.Restore(w.records.Snapshot()[1:])
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Bulletin", func() {
	It("gives others the time to object before a request is held up", func() {
		w := newCluster(quarantine.Limits{})
		w.crash("e1", suspect("a"))
		w.crash("e2", suspect("a"))
		Expect(w.news().Suspected).To(Equal([]quarantine.Digest{digest("a")}))
		w.now = w.now.Add(time.Second)
		w.crash("e3", suspect("a"))
		Expect(w.news().Quarantined[0].In).To(Equal(500 * time.Millisecond))
		w.now = w.now.Add(time.Second)
		Expect(w.news().Quarantined[0].In).To(BeZero())
	})

	// A control instance that starts anew would let a request be sent that all others
	// refuse.
	It("gives no time for what is known from before", func() {
		w := newCluster(quarantine.Limits{})
		for n := range 3 {
			w.crash(fmt.Sprint("e", n), suspect("bad"))
		}
		w.now = w.now.Add(10 * time.Second)
		w.bulletin = quarantine.NewBulletin(quarantine.Limits{})
		Expect(w.news().Quarantined[0].In).To(BeZero())
	})

	It("tells once what has changed", func() {
		w := newCluster(quarantine.Limits{})
		for n := range 3 {
			w.crash(fmt.Sprint("e", n), suspect("bad"))
		}
		changes := w.bulletin.Changes()
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Crashes).To(HaveLen(3))
		Expect(w.bulletin.Changes()).To(BeEmpty())
		w.apply(quarantine.Update{Lifted: []quarantine.Digest{digest("bad")}})
		Expect(w.bulletin.Changes()).To(Equal([]quarantine.Change{{Digest: digest("bad")}}))
	})

	It("marks equal news alike at every control instance", func() {
		w, other := newCluster(quarantine.Limits{}), newCluster(quarantine.Limits{})
		for n := range 3 {
			w.crash(fmt.Sprint("e", n), suspect("bad"))
		}
		other.now, other.records = w.now.Add(time.Minute), w.records
		Expect(other.news().Mark).To(Equal(w.news().Mark))
		before := w.news().Mark
		w.now = w.now.Add(time.Minute)
		w.crash("e9", suspect("other"))
		Expect(w.news().Mark).To(Equal(before), "it names the same requests")
		w.crash("e10", suspect("other"))
		Expect(w.news().Mark).NotTo(Equal(before))
	})
})

var _ = Describe("a Watch that follows the news", func() {
	var w *cluster
	var watch *quarantine.Watch

	BeforeEach(func() {
		w = newCluster(quarantine.Limits{})
		watch = quarantine.NewWatch()
	})

	It("holds a request from when all have had the time to object", func() {
		for n := range 3 {
			w.crash(fmt.Sprint("e", n), suspect("bad"))
		}
		watch.Follow(w.now, w.news())
		Expect(watch.Holds(w.now, digest("bad"))).To(BeFalse())
		Expect(watch.Holds(w.now.Add(2*time.Second), digest("bad"))).To(BeTrue())
		Expect(watch.Holds(w.now.Add(2*time.Second), digest("good"))).To(BeFalse())
	})

	It("objects if the request has ended well here", func() {
		watch.Succeeded(w.now, digest("status check"))
		for n := range 3 {
			w.crash(fmt.Sprint("e", n), suspect("status check"))
		}
		watch.Follow(w.now, w.news())
		Expect(watch.IsPending()).To(BeTrue())
		w.apply(watch.Due(w.now))
		watch.Follow(w.now, w.news())
		Expect(watch.Holds(w.now.Add(time.Minute), digest("status check"))).To(BeFalse())
	})

	It("objects when the request ends well while it is suspected", func() {
		w.crash("e1", suspect("a"))
		w.crash("e2", suspect("a"))
		watch.Follow(w.now, w.news())
		Expect(watch.IsPending()).To(BeFalse())
		watch.Succeeded(w.now, digest("a"))
		Expect(watch.Due(w.now).Succeeded).To(Equal([]quarantine.Digest{digest("a")}))
	})

	It("does not go back to older news of a control instance that lags, but to those of a new cluster", func() {
		older := w.news()
		for n := range 3 {
			w.crash(fmt.Sprint("e", n), suspect("bad"))
		}
		watch.Follow(w.now, w.news())
		watch.Follow(w.now, older)
		Expect(watch.Holds(w.now.Add(2*time.Second), digest("bad"))).To(BeTrue())
		watch.Follow(w.now.Add(11*time.Second), older)
		Expect(watch.Holds(w.now.Add(12*time.Second), digest("bad"))).To(BeFalse())
	})

	It("forgets a whole answer after some minutes, and when there are very many", func() {
		watch.Succeeded(w.now, digest("a"))
		for n := range 20000 {
			watch.Succeeded(w.now, digest(fmt.Sprint(n)))
		}
		for n := range 3 {
			w.crash(fmt.Sprint("e", n), suspect("a"))
		}
		watch.Follow(w.now, w.news())
		Expect(watch.IsPending()).To(BeFalse())
	})
})

// entries are entry instances among which callers repeat a request.
type entries struct {
	cluster *cluster
	watches []*quarantine.Watch
	// syncEvery is the time between two questions of an instance for news, and confirmTime
	// the time from a crash until the voters have it.
	syncEvery, confirmTime time.Duration
}

var _ = DescribeTable("a request that is repeated at many instances at once",
	func(instances int, syncEvery, contactTime time.Duration) {
		const confirmTime = 300 * time.Millisecond
		const step = 10 * time.Millisecond
		e := entries{cluster: newCluster(quarantine.Limits{}), syncEvery: syncEvery, confirmTime: confirmTime}
		for range instances {
			e.watches = append(e.watches, quarantine.NewWatch())
		}
		begin := e.cluster.now
		var crashed []time.Time
		later := 0
		for tick := range 1500 {
			e.cluster.now = begin.Add(time.Duration(tick) * step)
			now := e.cluster.now
			for n, watch := range e.watches {
				if tick%int(syncEvery/step) == n%int(syncEvery/step) {
					watch.Follow(now, e.cluster.news())
				}
			}
			for len(crashed) > 0 && e.reported(crashed) && now.Sub(crashed[e.count()]) >= confirmTime {
				e.cluster.crash(fmt.Sprint("e", e.count()), suspect("bad"), answering(fmt.Sprint("a", tick)))
			}
			if tick%20 != 0 {
				continue
			}
			// Three instances get it within the same moment.
			for n := range 3 {
				watch := e.watches[(tick/20*3+n)%instances]
				if watch.Holds(now, digest("bad")) {
					continue
				}
				crashed = append(crashed, now)
				if len(crashed) > 3 && now.Sub(crashed[2]) > contactTime {
					later++
				}
			}
		}
		Expect(later).To(BeNumerically("<=", 3), "%d crashes", len(crashed))
	},
	Entry("3 instances", 3, 250*time.Millisecond, 3*time.Second),
	Entry("7 instances", 7, 250*time.Millisecond, 3*time.Second),
	Entry("86 instances", 86, 520*time.Millisecond, 4*time.Second),
	Entry("291 instances", 291, time.Second, 5*time.Second),
)

// count is how many crashes the voters have.
func (e *entries) count() int {
	for _, c := range e.cluster.records.Cases() {
		if c.Digest == digest("bad") {
			return int(e.cluster.records.Revision())
		}
	}
	return 0
}

// reported reports whether there are crashes that the voters do not have yet.
func (e *entries) reported(crashed []time.Time) bool {
	return e.count() < len(crashed)
}

var _ = Describe("Recall", func() {
	// A link that refuses looks like a process that has ended; its liveness reports go on.
	It("finds upstreams that were reported as ended and are heard of later", func() {
		w := newCluster(quarantine.Limits{})
		w.crash("e1", suspect("a"))
		w.crash("e2", suspect("a"))
		var recall quarantine.Recall
		heard := map[string]time.Duration{"e1": 500 * time.Millisecond, "e2": 1500 * time.Millisecond}
		began := w.now
		find := func(l quarantine.Lifetime) (time.Time, bool) {
			after, known := heard[l.Upstream]
			return began.Add(after), known
		}
		Expect(recall.Alive(w.now, w.records, find)).To(Equal([]quarantine.Lifetime{lifetime("e2")}), "heard of more than a moment later")
		delete(heard, "e2")
		Expect(recall.Alive(w.now.Add(time.Second), w.records, find)).To(BeEmpty())
	})
})
