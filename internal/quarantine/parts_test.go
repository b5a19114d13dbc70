package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// prompt returns a suspect whose prompt has the given parts.
func prompt(body string, parts ...string) quarantine.Suspect {
	s := suspect(body)
	s.Parts = partDigests(parts)
	return s
}

var _ = Describe("Parts of prompts", func() {
	var c *cluster
	var watch *quarantine.Watch

	BeforeEach(func() {
		c = newCluster(quarantine.Limits{})
		watch = quarantine.NewWatch()
	})

	// rule returns the decision on a new request, after the time in which news is objected to.
	rule := func(parts ...string) quarantine.Ruling {
		now := c.now.Add(2 * time.Second)
		watch.ApplyNews(c.now, c.news())
		return watch.Rule(now, digest("new"), partDigests(parts)...)
	}
	decision := func(parts ...string) quarantine.Decision {
		return rule(parts...).Decision
	}

	It("are in quarantine if different requests with one crash upstreams", func() {
		for n := range 3 {
			Expect(decision("dead")).To(Equal(quarantine.DecisionSend))
			c.crash(fmt.Sprint("e", n), prompt(fmt.Sprint(n), "dead", fmt.Sprint("other", n)), suspect(fmt.Sprint("victim", n)))
		}
		Expect(decision("dead", "elsewhere")).To(Equal(quarantine.DecisionRefuse))
		Expect(decision("other0", "other1")).To(Equal(quarantine.DecisionSend))
	})

	// The same request again shows nothing of the parts that it shares with others.
	It("are not held responsible for a request that is repeated", func() {
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), prompt("bad", "system"))
		}
		Expect(decision("system")).To(Equal(quarantine.DecisionSend))
		Expect(c.quarantined("bad")).To(Equal([]string{"bad"}))
	})

	// A part that was only seen beside a harmful one must not stay refused.
	It("are refused together while they can't be told apart, and tried alone", func() {
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), prompt(fmt.Sprint(n), "dead", "beside"))
		}
		Expect(decision("dead", "beside")).To(Equal(quarantine.DecisionRefuse))
		Expect(rule("beside")).To(And(HaveField("Decision", quarantine.DecisionTry), HaveField("Suspected", true)))
		watch.Succeeded(c.now, digest("trial"), partDigests([]string{"beside"})...)
		c.apply(watch.TakeDue(c.now))
		Expect(decision("beside")).To(Equal(quarantine.DecisionSend))
		Expect(decision("dead")).To(Equal(quarantine.DecisionRefuse))
	})

	It("are told apart by a crash with one of them", func() {
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), prompt(fmt.Sprint(n), "dead", "beside"))
		}
		c.crash("e3", prompt("3", "dead"))
		Expect(decision("dead")).To(Equal(quarantine.DecisionRefuse))
		Expect(decision("beside")).To(Equal(quarantine.DecisionSend))
	})

	// A first part that victims share as well is at every crash.
	It("are not held responsible for being at every crash that another one causes", func() {
		for n := range 8 {
			c.crash(fmt.Sprint("e", n), prompt(fmt.Sprint("victim", n), "system"), prompt(fmt.Sprint(n), "system", "dead"))
			c.now = c.now.Add(2 * time.Second)
		}
		Expect(decision("system", "sound")).To(Equal(quarantine.DecisionSend))
		c.apply(quarantine.Update{Succeeded: partDigests([]string{"system"})})
		Expect(decision("system", "dead")).To(Equal(quarantine.DecisionRefuse))
		Expect(decision("system", "sound")).To(Equal(quarantine.DecisionSend))
	})

	It("are not reported if a request with them has succeeded", func() {
		watch.Succeeded(c.now, digest("good"), partDigests([]string{"system"})...)
		watch.Interrupted(c.now, endpoint("e1"), prompt("bad", "system", "dead"))
		watch.Observe(lifetime("e1"), quarantine.StatusRefused)
		reports := watch.TakeDue(c.now.Add(time.Second)).Reports
		Expect(reports).To(HaveLen(1))
		Expect(reports[0].Suspects[0].Parts).To(Equal(partDigests([]string{"dead"})))
	})

	// A response that ends with its connection looks the same if the upstream crashed.
	It("are not cleared by a response that ended with its connection when the upstream crashed", func() {
		for _, crashed := range []bool{true, false} {
			watch = quarantine.NewWatch()
			watch.Closed(c.now, endpoint("e1"), prompt("x", "dead"), partDigests([]string{"dead"})...)
			status := quarantine.StatusUnknown
			if crashed {
				watch.Interrupted(c.now, endpoint("e1"), suspect("victim"))
				status = quarantine.StatusReplaced
			}
			for second := range 12 {
				watch.Review(c.now.Add(time.Duration(second)*time.Second), func(quarantine.Endpoint) quarantine.Status { return status })
			}
			now := c.now.Add(12 * time.Second)
			watch.Interrupted(now, endpoint("e2"), prompt("y", "dead"))
			watch.Observe(lifetime("e2"), quarantine.StatusRefused)
			reports := watch.TakeDue(now.Add(time.Second)).Reports
			Expect(reports[len(reports)-1].Suspects[0].Parts).To(HaveLen(map[bool]int{true: 1, false: 0}[crashed]))
		}
	})

	It("are cleared by a response that ended with its connection when its upstream answers later", func() {
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), prompt(fmt.Sprint(n), "dead"))
		}
		watch.ApplyNews(c.now, c.news())
		watch.Closed(c.now, endpoint("e9"), suspect("x"), partDigests([]string{"dead"})...)
		watch.Responded(c.now.Add(100*time.Millisecond), lifetime("e9"))
		watch.Responded(c.now.Add(time.Second), lifetime("e8"))
		Expect(watch.TakeDue(c.now).Succeeded).To(BeEmpty())
		watch.Responded(c.now.Add(time.Second), lifetime("e9"))
		Expect(watch.TakeDue(c.now).Succeeded).To(Equal(partDigests([]string{"dead"})))
	})

	It("are not suspected if the answer has gone on for more than a second", func() {
		Expect(prompt("x", "a").WithAnswering(500 * time.Millisecond).Parts).To(HaveLen(1))
		Expect(prompt("x", "a").WithAnswering(1500 * time.Millisecond).Parts).To(BeEmpty())
	})

	// An innocent part may be at crashes by chance, and nobody sends it any more.
	It("are tried after a while, later after each trial that failed", func() {
		for n := range 4 {
			c.crash(fmt.Sprint("e", n), prompt(fmt.Sprint(n), "dead", fmt.Sprint("other", n)))
		}
		trialIn := func() time.Duration { return c.news().Quarantined[0].TrialIn }
		Expect(c.news().Quarantined[0].Suspected).To(BeTrue())
		Expect(trialIn()).To(Equal(8 * time.Second))
		watch.ApplyNews(c.now, c.news())
		due := c.now.Add(8 * time.Second)
		Expect(watch.Rule(due, digest("new"), partDigests([]string{"dead"})...).Decision).To(Equal(quarantine.DecisionTry))
		mark := c.news().Mark
		c.now = due
		c.crash("e4", prompt("4", "dead"))
		Expect(trialIn()).To(Equal(64 * time.Second))
		Expect(c.news().Mark).NotTo(Equal(mark), "instances learn of the failed trial")
		c.now = c.now.Add(6 * time.Second)
		Expect(c.news().Quarantined[0].Suspected).To(BeFalse())
		Expect(trialIn()).To(Equal(8*5*time.Minute - 6*time.Second))
	})

	// While engines crash one after the other nothing is answered whole, and no part is cleared.
	It("are certain only when there was no crash for a while", func() {
		for n := range 8 {
			c.crash(fmt.Sprint("e", n), prompt(fmt.Sprint(n), "dead"))
		}
		Expect(c.news().Quarantined[0].Suspected).To(BeTrue())
		c.now = c.now.Add(5 * time.Second)
		Expect(c.news().Quarantined[0].Suspected).To(BeFalse())
		Expect(c.news().Quarantined[0].TrialIn).To(Equal(295 * time.Second))
	})

	It("are tried once in the time in which the result becomes known", func() {
		var trials quarantine.Trials
		since := c.now.Add(-5 * time.Second)
		Expect(trials.Take(c.now, since, partTrial(7))).To(BeTrue())
		Expect(trials.Take(c.now.Add(4*time.Second), since, partTrial(7))).To(BeFalse())
		Expect(trials.Take(c.now.Add(4*time.Second), since, partTrial(8))).To(BeTrue())
		Expect(trials.Take(c.now.Add(5*time.Second), since, partTrial(7))).To(BeTrue())
	})

	// Guards against further crashes: who decided before may have allowed one a moment ago.
	It("are not tried while the result of an earlier trial may be unknown to who decides", func() {
		var trials quarantine.Trials
		Expect(trials.Take(c.now.Add(4*time.Second), c.now, partTrial(7))).To(BeFalse())
		Expect(trials.Take(c.now.Add(5*time.Second), c.now, partTrial(7))).To(BeTrue())
	})

	// Without the other part, the quarantine of the one that is left would extend to more requests.
	It("are lifted together if they can't be told apart", func() {
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), prompt(fmt.Sprint(n), "dead", "beside"))
		}
		listed := c.records.List(c.now, quarantine.Limits{})[0]
		Expect(listed.Part).To(BeTrue())
		Expect(listed.With).To(HaveLen(1))
		c.apply(quarantine.Update{Lifted: []quarantine.Digest{listed.Digest}})
		Expect(c.news().Quarantined).To(BeEmpty())
	})

	It("are the same after a snapshot is restored", func() {
		for n := range 3 {
			c.crash(fmt.Sprint("e", n), prompt(fmt.Sprint(n), "dead", "beside"))
		}
		restored, err := quarantine.Restore(c.records.Snapshot())
		Expect(err).NotTo(HaveOccurred())
		Expect(restored).To(Equal(c.records))
	})

	// A caller that floods engines with parts that are all different must not displace the one
	// that crashes them.
	It("use bounded memory", func() {
		for n := range 2 {
			c.crash(fmt.Sprint("e", n), prompt(fmt.Sprint(n), "dead"))
			c.now = c.now.Add(3 * time.Second)
		}
		for n := range 20 {
			c.now = c.now.Add(time.Second)
			var flood []quarantine.Suspect
			for m := range 64 {
				var parts []string
				for part := range 16 {
					parts = append(parts, fmt.Sprintf("%d-%d-%d", n, m, part))
				}
				flood = append(flood, prompt(fmt.Sprint(n, "-", m), parts...))
			}
			c.crash(fmt.Sprint("f", n), flood...)
		}
		Expect(len(c.records.Cases())).To(BeNumerically("<=", 2048+4096))
		Expect(len(c.records.Snapshot())).To(BeNumerically("<", 1<<20))
		c.now = c.now.Add(3 * time.Second)
		c.crash("e3", prompt("3", "dead"))
		Expect(decision("dead")).To(Equal(quarantine.DecisionRefuse))
	})

	It("of one upstream are bounded, and those of answers that had not begun are kept", func() {
		for n := range 200 {
			s := prompt(fmt.Sprint("victim", n), fmt.Sprint("a", n), fmt.Sprint("b", n), fmt.Sprint("c", n), fmt.Sprint("d", n), fmt.Sprint("e", n), fmt.Sprint("f", n))
			watch.Interrupted(c.now, endpoint("e1"), s.WithAnswering(0))
		}
		watch.Interrupted(c.now, endpoint("e1"), prompt("bad", "dead"))
		watch.Observe(lifetime("e1"), quarantine.StatusRefused)
		suspects := watch.TakeDue(c.now.Add(time.Second)).Reports[0].Suspects
		count := 0
		for _, s := range suspects {
			count += len(s.Parts)
		}
		Expect(count).To(BeNumerically("<=", 1024))
		Expect(suspects[len(suspects)-1].Parts).To(HaveLen(1))
	})
})
