package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// cluster simulates a cluster: its records and the news of one control instance.
type cluster struct {
	now       time.Time
	records   quarantine.Records
	publisher *quarantine.Publisher
}

func newCluster(limits quarantine.Limits) *cluster {
	return &cluster{now: time.Unix(1_000_000, 0).UTC(), publisher: quarantine.NewPublisher(limits)}
}

// crash records that an upstream ended with the given requests.
func (c *cluster) crash(upstream string, suspects ...quarantine.Suspect) {
	c.apply(quarantine.Update{Reports: []quarantine.Report{{Lifetime: lifetime(upstream), Suspects: suspects}}})
}

func (c *cluster) apply(update quarantine.Update) {
	update.Now = c.now
	c.records = c.records.With(update)
	c.news()
}

func (c *cluster) news() quarantine.News {
	return c.publisher.News(c.now, c.records)
}

// quarantined returns those of the bodies whose requests are in quarantine.
func (c *cluster) quarantined(bodies ...string) []string {
	var quarantined []string
	for _, body := range bodies {
		for _, entry := range c.news().Quarantined {
			if entry.Digest == digest(body) {
				quarantined = append(quarantined, body)
			}
		}
	}
	return quarantined
}

func answering(body string) quarantine.Suspect {
	s := suspect(body)
	s.Answering = true
	return s
}

var _ = Describe("Records", func() {
	var c *cluster

	BeforeEach(func() {
		c = newCluster(quarantine.Limits{})
	})

	It("quarantine a request under which three upstreams have ended", func() {
		c.crash("e1", suspect("bad"), answering("a"), answering("b"))
		c.crash("e2", suspect("bad"), answering("c"), suspect("d"))
		Expect(c.quarantined("bad")).To(BeEmpty())
		c.crash("e3", suspect("bad"), answering("e"))
		Expect(c.quarantined("bad", "a", "b", "c", "d", "e")).To(Equal([]string{"bad"}))
	})

	It("count a crash once, however many instances report it", func() {
		for n := range 10 {
			s := suspect("bad")
			s.Request = fmt.Sprint("r", n)
			c.crash("e1", s)
			c.crash("e2", s)
		}
		Expect(c.quarantined("bad")).To(BeEmpty())
	})

	// A harmless request that is repeated after each crash may run at the same upstream as
	// the harmful one several times.
	It("hold responsible who was at more of the crashes, and nobody else", func() {
		c.crash("e1", suspect("bad"), suspect("unlucky"))
		c.crash("e2", suspect("bad"))
		c.crash("e3", suspect("bad"), suspect("unlucky"))
		c.crash("e4", suspect("bad"), suspect("unlucky"))
		Expect(c.quarantined("bad", "unlucky")).To(Equal([]string{"bad"}))
	})

	It("wait for the next crash if two requests were at the same ones", func() {
		for _, upstream := range []string{"e1", "e2", "e3"} {
			c.crash(upstream, suspect("bad"), suspect("unlucky"))
		}
		Expect(c.quarantined("bad", "unlucky")).To(BeEmpty())
		c.crash("e4", suspect("bad"))
		Expect(c.quarantined("bad", "unlucky")).To(Equal([]string{"bad"}))
	})

	It("quarantine two requests that crash different engines at the same time", func() {
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), suspect("bad"))
			c.crash(fmt.Sprint("f", n), suspect("worse"))
		}
		Expect(c.quarantined("bad", "worse")).To(Equal([]string{"bad", "worse"}))
	})

	It("quarantine two requests that are always at the same crashes", func() {
		for n := range 6 {
			c.crash(fmt.Sprint("e", n), suspect("bad"), suspect("worse"))
		}
		Expect(c.quarantined("bad", "worse")).To(Equal([]string{"bad", "worse"}))
	})

	// Upstreams that end for other reasons interrupt responses that have run for seconds,
	// whereas a request that crashes them has usually just started.
	It("give half the weight to a request whose answer has started", func() {
		for n := range 5 {
			c.crash(fmt.Sprint("e", n), answering("long"))
			Expect(c.quarantined("long")).To(BeEmpty())
		}
		c.crash("e5", answering("long"))
		Expect(c.quarantined("long")).To(Equal([]string{"long"}))
	})

	// Many callers repeat the same request, such as a status check. It is interrupted at
	// each upstream that ends for another reason, and succeeds everywhere else.
	It("clear a request that has ended well", func() {
		for n := range 20 {
			c.crash(fmt.Sprint("e", n), suspect("status check"))
			c.apply(quarantine.Update{Succeeded: []quarantine.Digest{digest("status check")}})
		}
		Expect(c.quarantined("status check")).To(BeEmpty())
		Expect(c.news().Suspected).To(BeEmpty())
	})

	// A caller sends a request several times at once, and a failure domain is lost.
	It("count an outage that takes down others as well once", func() {
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), suspect("repeated"), answering(fmt.Sprint("a", n)))
		}
		c.crash("e3", suspect("b"))
		Expect(c.quarantined("repeated")).To(BeEmpty())
		c.now = c.now.Add(time.Minute)
		c.crash("e4", suspect("repeated"))
		Expect(c.quarantined("repeated")).To(BeEmpty())
	})

	It("count each of several simultaneous crashes if the request was at all of them", func() {
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), suspect("bad"), answering(fmt.Sprint("a", n)))
		}
		Expect(c.quarantined("bad")).To(Equal([]string{"bad"}))
	})

	It("retract a crash that was reported by mistake", func() {
		c.crash("e1", suspect("a"))
		c.crash("e2", suspect("a"))
		c.crash("e3", suspect("a"))
		c.apply(quarantine.Update{Alive: []quarantine.Lifetime{lifetime("e2")}})
		Expect(c.quarantined("a")).To(BeEmpty())
	})

	It("let an operator lift a quarantine", func() {
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), suspect("bad"))
		}
		c.apply(quarantine.Update{Lifted: []quarantine.Digest{digest("bad")}})
		Expect(c.quarantined("bad")).To(BeEmpty())
	})

	It("end a quarantine after the retention, and start it again at the next crash", func() {
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), suspect("bad"))
		}
		c.now = c.now.Add(quarantine.DefaultRetention - time.Second)
		Expect(c.quarantined("bad")).To(Equal([]string{"bad"}))
		c.now = c.now.Add(2 * time.Second)
		Expect(c.quarantined("bad")).To(BeEmpty())
		c.crash("e9", suspect("bad"))
		Expect(c.quarantined("bad")).To(Equal([]string{"bad"}))
	})

	It("use the limits of the operator", func() {
		c = newCluster(quarantine.Limits{Crashes: 2, Retention: time.Minute})
		c.crash("e1", suspect("bad"))
		c.crash("e2", suspect("bad"))
		Expect(c.quarantined("bad")).To(Equal([]string{"bad"}))
		c.now = c.now.Add(time.Minute)
		Expect(c.quarantined("bad")).To(BeEmpty())
	})

	// A caller that floods engines with requests that are all different, while upstreams
	// end for other reasons, must not displace the request that crashes them.
	It("use bounded memory, and keep the requests with the most crashes", func() {
		c.crash("e1", suspect("bad"))
		c.crash("e2", suspect("bad"))
		for n := range 40 {
			c.now = c.now.Add(time.Second)
			var flood []quarantine.Suspect
			for m := range 256 {
				flood = append(flood, suspect(fmt.Sprint(n, "-", m)))
			}
			c.crash(fmt.Sprint("f", n), flood...)
		}
		Expect(len(c.records.Cases())).To(BeNumerically("<=", 2048))
		Expect(len(c.records.Snapshot())).To(BeNumerically("<", 512<<10))
		c.crash("e3", suspect("bad"))
		Expect(c.quarantined("bad")).To(Equal([]string{"bad"}))
	})

	It("are the same after a snapshot is restored", func() {
		c.crash("e1", suspect("bad"), answering("a"))
		c.crash("e2", suspect("bad"))
		restored, err := quarantine.Restore(c.records.Snapshot())
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Snapshot()).To(Equal(c.records.Snapshot()))
		c.records = restored
		c.crash("e3", suspect("bad"))
		Expect(c.quarantined("bad")).To(Equal([]string{"bad"}))
		_, err = quarantine.Restore(c.records.Snapshot()[1:])
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Bulletin", func() {
	It("leaves time to clear a request before its quarantine starts", func() {
		c := newCluster(quarantine.Limits{})
		c.crash("e1", suspect("a"))
		c.crash("e2", suspect("a"))
		Expect(c.news().Suspected).To(Equal([]quarantine.Digest{digest("a")}))
		c.now = c.now.Add(time.Second)
		c.crash("e3", suspect("a"))
		Expect(c.news().Quarantined[0].In).To(Equal(500 * time.Millisecond))
		c.now = c.now.Add(time.Second)
		Expect(c.news().Quarantined[0].In).To(BeZero())
	})

	// A control instance that restarts must not allow a request that all others refuse.
	It("gives no time for what is known from before", func() {
		c := newCluster(quarantine.Limits{})
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), suspect("bad"))
		}
		c.now = c.now.Add(10 * time.Second)
		c.publisher = quarantine.NewPublisher(quarantine.Limits{})
		Expect(c.news().Quarantined[0].In).To(BeZero())
	})

	It("returns each change once", func() {
		c := newCluster(quarantine.Limits{})
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), suspect("bad"))
		}
		changes := c.publisher.Changes()
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Crashes).To(HaveLen(3))
		Expect(c.publisher.Changes()).To(BeEmpty())
		c.apply(quarantine.Update{Lifted: []quarantine.Digest{digest("bad")}})
		Expect(c.publisher.Changes()).To(Equal([]quarantine.Change{{Digest: digest("bad")}}))
	})

	It("gives equal news the same mark at every control instance", func() {
		c, other := newCluster(quarantine.Limits{}), newCluster(quarantine.Limits{})
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), suspect("bad"))
		}
		other.now, other.records = c.now.Add(30*time.Second), c.records
		Expect(other.news().Mark).To(Equal(c.news().Mark))
		c.now = c.now.Add(time.Minute)
		before := c.news().Mark
		c.crash("e9", answering("other"))
		Expect(c.news().Mark).To(Equal(before), "the news names the same requests")
		c.crash("e10", suspect("other"))
		Expect(c.news().Mark).NotTo(Equal(before))
	})
})

var _ = Describe("a Watch that follows the news", func() {
	var c *cluster
	var watch *quarantine.Watch

	BeforeEach(func() {
		c = newCluster(quarantine.Limits{})
		watch = quarantine.NewWatch()
	})

	It("quarantines a request after the time to clear it", func() {
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), suspect("bad"))
		}
		watch.ApplyNews(c.now, c.news())
		Expect(watch.IsQuarantined(c.now, digest("bad"))).To(BeFalse())
		Expect(watch.IsQuarantined(c.now.Add(2*time.Second), digest("bad"))).To(BeTrue())
		Expect(watch.IsQuarantined(c.now.Add(2*time.Second), digest("good"))).To(BeFalse())
	})

	It("clears a request that has succeeded here", func() {
		watch.Succeeded(c.now, digest("status check"))
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), suspect("status check"))
		}
		watch.ApplyNews(c.now, c.news())
		Expect(watch.IsPending()).To(BeTrue())
		c.apply(watch.TakeDue(c.now))
		watch.ApplyNews(c.now, c.news())
		Expect(watch.IsQuarantined(c.now.Add(time.Minute), digest("status check"))).To(BeFalse())
	})

	It("clears a suspected request when it succeeds here", func() {
		c.crash("e1", suspect("a"))
		c.crash("e2", suspect("a"))
		watch.ApplyNews(c.now, c.news())
		Expect(watch.IsPending()).To(BeFalse())
		watch.Succeeded(c.now, digest("a"))
		Expect(watch.TakeDue(c.now).Succeeded).To(Equal([]quarantine.Digest{digest("a")}))
	})

	// Copies of a request that wait for the only upstream of its model would all be sent to the next
	// one together, before it is in quarantine.
	It("sends one copy of a request at a time from its first crash on, until it is quiet for a minute", func() {
		c.crash("e1", suspect("bad"), answering("long"))
		watch.ApplyNews(c.now, c.news())
		Expect(watch.Rule(c.now, digest("bad"))).To(Equal(quarantine.Ruling{
			Decision: quarantine.DecisionTry, Digests: []quarantine.Digest{digest("bad")}, Suspected: true, Probation: true, Crashes: 1,
		}))
		Expect(watch.Rule(c.now, digest("long"))).To(Equal(quarantine.Ruling{}))
		c.now = c.now.Add(time.Minute)
		watch.ApplyNews(c.now, c.news())
		Expect(watch.Rule(c.now, digest("bad"))).To(Equal(quarantine.Ruling{}))
	})

	// Trials need a control instance, so it would be refused for as long as none answers.
	It("sends all copies of a request a minute after its last crash also if no news arrive", func() {
		c.crash("e1", suspect("bad"))
		watch.ApplyNews(c.now, c.news())
		Expect(watch.Rule(c.now.Add(time.Minute-1), digest("bad")).Probation).To(BeTrue())
		Expect(watch.Rule(c.now.Add(time.Minute), digest("bad"))).To(Equal(quarantine.Ruling{}))
	})

	// Many callers repeat the same request, such as a status check, which must not wait for the
	// others to hear that it is harmless.
	It("sends all copies of a request that has succeeded here, and clears it at the other instances", func() {
		watch.Succeeded(c.now, digest("status check"))
		c.crash("e1", suspect("status check"))
		watch.ApplyNews(c.now, c.news())
		Expect(watch.Rule(c.now, digest("status check"))).To(Equal(quarantine.Ruling{}))
		c.apply(watch.TakeDue(c.now))
		Expect(c.news().OnProbation).To(BeEmpty())
	})

	// Trials of a request that is about to enter quarantine would crash upstreams without need.
	It("sends no copy of a request that is about to enter quarantine", func() {
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), suspect("bad"))
		}
		watch.ApplyNews(c.now, c.news())
		ruling := watch.Rule(c.now, digest("bad"))
		Expect(ruling.Decision).To(Equal(quarantine.DecisionRefuse))
		Expect(ruling.Suspected).To(BeTrue())
	})

	It("knows since when there has been news of the latest crash", func() {
		c.crash("e1", suspect("a"))
		watch.ApplyNews(c.now, c.news())
		trial := watch.Rule(c.now, digest("a")).Trial().ID
		Expect(watch.KnownCrashes(trial)).To(Equal(quarantine.KnownCrashes{Crashes: 1}), "the first news may be late")
		c.now = c.now.Add(time.Second)
		c.crash("e2", suspect("a"))
		watch.ApplyNews(c.now, c.news())
		watch.ApplyNews(c.now.Add(time.Second), c.news())
		Expect(watch.KnownCrashes(trial)).To(Equal(quarantine.KnownCrashes{Crashes: 2, Since: c.now}))
	})

	It("does not go back to older news of a control instance that lags, but to those of a new cluster", func() {
		olderNews := c.news()
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), suspect("bad"))
		}
		watch.ApplyNews(c.now, c.news())
		watch.ApplyNews(c.now, olderNews)
		Expect(watch.IsQuarantined(c.now.Add(2*time.Second), digest("bad"))).To(BeTrue())
		watch.ApplyNews(c.now.Add(11*time.Second), olderNews)
		Expect(watch.IsQuarantined(c.now.Add(12*time.Second), digest("bad"))).To(BeFalse())
	})

	It("forgets a success when there are very many", func() {
		watch.Succeeded(c.now, digest("a"))
		for n := range 20000 {
			watch.Succeeded(c.now, digest(fmt.Sprint(n)))
		}
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), suspect("a"))
		}
		watch.ApplyNews(c.now, c.news())
		Expect(watch.IsPending()).To(BeFalse())
	})
})

// entryInstances simulates entry instances to which callers repeat a request.
type entryInstances struct {
	cluster *cluster
	watches []*quarantine.Watch
	// pollInterval is the time between two polls of the news by an instance, and
	// commitDelay the time from a crash until it is recorded.
	pollInterval, commitDelay time.Duration
}

var _ = DescribeTable("a request that is repeated at many instances at once",
	func(instances int, pollInterval, effectTime time.Duration) {
		const commitDelay = 300 * time.Millisecond
		const step = 10 * time.Millisecond
		e := entryInstances{cluster: newCluster(quarantine.Limits{}), pollInterval: pollInterval, commitDelay: commitDelay}
		for range instances {
			e.watches = append(e.watches, quarantine.NewWatch())
		}
		start := e.cluster.now
		var crashed []time.Time
		late := 0
		for tick := range 1500 {
			e.cluster.now = start.Add(time.Duration(tick) * step)
			now := e.cluster.now
			for n, watch := range e.watches {
				if tick%int(pollInterval/step) == n%int(pollInterval/step) {
					watch.ApplyNews(now, e.cluster.news())
				}
			}
			for len(crashed) > 0 && e.hasUnrecorded(crashed) && now.Sub(crashed[e.recorded()]) >= commitDelay {
				e.cluster.crash(fmt.Sprint("e", e.recorded()), suspect("bad"), answering(fmt.Sprint("a", tick)))
			}
			if tick%20 != 0 {
				continue
			}
			// Three instances receive the request at the same time.
			for n := range 3 {
				watch := e.watches[(tick/20*3+n)%instances]
				if watch.IsQuarantined(now, digest("bad")) {
					continue
				}
				crashed = append(crashed, now)
				if len(crashed) > 3 && now.Sub(crashed[2]) > effectTime {
					late++
				}
			}
		}
		Expect(late).To(BeNumerically("<=", 3), "%d crashes", len(crashed))
	},
	Entry("3 instances", 3, 250*time.Millisecond, 3*time.Second),
	Entry("7 instances", 7, 250*time.Millisecond, 3*time.Second),
	Entry("86 instances", 86, 520*time.Millisecond, 4*time.Second),
	Entry("291 instances", 291, time.Second, 5*time.Second),
)

// recorded returns the number of recorded crashes.
func (e *entryInstances) recorded() int {
	for _, c := range e.cluster.records.Cases() {
		if c.Digest == digest("bad") {
			return int(e.cluster.records.Revision())
		}
	}
	return 0
}

// hasUnrecorded reports whether there are crashes that are not recorded yet.
func (e *entryInstances) hasUnrecorded(crashed []time.Time) bool {
	return e.recorded() < len(crashed)
}

var _ = Describe("Recall", func() {
	// A link that refuses connections looks like a process that has ended, but the
	// liveness reports of the upstream continue.
	It("finds upstreams that were reported as ended and are heard of later", func() {
		c := newCluster(quarantine.Limits{})
		c.crash("e1", suspect("a"))
		c.crash("e2", suspect("a"))
		var detector quarantine.FalseCrashDetector
		contactAfter := map[string]time.Duration{"e1": 500 * time.Millisecond, "e2": 1500 * time.Millisecond}
		start := c.now
		lastContact := func(l quarantine.Lifetime) (time.Time, bool) {
			after, known := contactAfter[l.Upstream]
			return start.Add(after), known
		}
		Expect(detector.Alive(c.now, c.records, lastContact)).To(Equal([]quarantine.Lifetime{lifetime("e2")}), "its liveness report is too late to be from before its end")
		delete(contactAfter, "e2")
		Expect(detector.Alive(c.now.Add(time.Second), c.records, lastContact)).To(BeEmpty())
	})
})
