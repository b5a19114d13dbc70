package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

func partTrial(id quarantine.TrialID) quarantine.Trial {
	return quarantine.Trial{ID: id}
}

// after returns a trial of a request after a number of crashes.
func after(crashes int) quarantine.Trial {
	return quarantine.Trial{ID: 7, Crashes: crashes}
}

var _ = Describe("Trials of a request on probation", func() {
	var trials quarantine.Trials
	start := time.Unix(1_000_000, 0).UTC()
	take := func(at time.Duration, trial quarantine.Trial) bool {
		return trials.Take(start.Add(at), time.Time{}, trial)
	}

	BeforeEach(func() {
		trials = quarantine.Trials{}
	})

	It("are sent after each crash at once, one each", func() {
		Expect(take(0, after(1))).To(BeTrue())
		Expect(take(4*time.Second, after(1))).To(BeFalse())
		Expect(take(4*time.Second, after(2))).To(BeTrue())
		Expect(take(4*time.Second, after(2))).To(BeFalse())
		Expect(take(9*time.Second, after(2))).To(BeTrue())
	})

	It("are not sent by an instance that knows of fewer crashes", func() {
		Expect(take(0, after(2))).To(BeTrue())
		Expect(take(time.Second, after(1))).To(BeFalse())
	})

	It("are sent at once when the one before has ended without a crash", func() {
		Expect(take(0, after(1))).To(BeTrue())
		trials.End(start.Add(time.Second), after(1))
		Expect(take(time.Second, after(1))).To(BeTrue())
		Expect(take(time.Second, after(1))).To(BeFalse())
	})

	It("are not sent because an earlier one than the latest has ended", func() {
		Expect(take(0, after(1))).To(BeTrue())
		Expect(take(time.Second, after(2))).To(BeTrue())
		trials.End(start.Add(2*time.Second), after(1))
		Expect(take(2*time.Second, after(2))).To(BeFalse())
	})

	It("are sent by a new owner when the one that its predecessor allowed has ended", func() {
		Expect(trials.Take(start.Add(time.Second), start, after(1))).To(BeFalse())
		trials.End(start.Add(time.Second), after(1))
		Expect(trials.Take(start.Add(time.Second), start, after(1))).To(BeTrue())
	})

	// Guards against further crashes: another owner in between may have allowed one.
	It("are not sent by an owner that was one before and is one again", func() {
		Expect(take(0, after(1))).To(BeTrue())
		Expect(trials.Take(start.Add(2*time.Second), start.Add(time.Second), after(2))).To(BeFalse())
	})

	It("are bounded in number, and one of the known ones can still be sent", func() {
		id := quarantine.TrialID(0)
		for ; trials.Take(start, time.Time{}, quarantine.Trial{ID: id, Crashes: 1}); id++ {
			Expect(id).To(BeNumerically("<", 1000))
		}
		Expect(trials.Take(start, time.Time{}, quarantine.Trial{ID: 0, Crashes: 2})).To(BeTrue())
	})

	// With one trial in 5 s, a request is in quarantine 10 s after its first crash at the earliest.
	It("bring one that crashes upstreams into quarantine with its news", func() {
		c := newCluster(quarantine.Limits{})
		watch := quarantine.NewWatch()
		began := c.now
		c.crash("e0", suspect("bad"))
		for crashes := 1; len(c.quarantined("bad")) == 0; c.now = c.now.Add(100 * time.Millisecond) {
			watch.ApplyNews(c.now, c.news())
			for range 3 {
				ruling := watch.Rule(c.now, digest("bad"))
				if ruling.Decision == quarantine.DecisionTry && trials.Take(c.now, time.Time{}, ruling.Trial()) {
					c.crash(fmt.Sprint("e", crashes), suspect("bad"))
					crashes++
				}
			}
			Expect(c.now.Sub(began)).To(BeNumerically("<", time.Second))
		}
		Expect(c.records.Cases()[0].Crashes).To(HaveLen(3))
	})
})
