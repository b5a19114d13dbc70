package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// digest returns the digest of a request with the given body.
func digest(body string) quarantine.Digest {
	return quarantine.Identity{Method: "POST", Host: "spec.test", Target: "/write/x", Body: []byte(body)}.Digest()
}

func suspect(body string) quarantine.Suspect {
	return quarantine.Suspect{Digest: digest(body), Request: "r-" + body}
}

func lifetime(upstream string) quarantine.Lifetime {
	return quarantine.Lifetime{Upstream: upstream}
}

func endpoint(upstream string) quarantine.Endpoint {
	return quarantine.Endpoint{Lifetime: lifetime(upstream), Address: upstream + ":80"}
}

var _ = Describe("Watch", func() {
	var watch *quarantine.Watch
	now := time.Unix(1_000_000, 0)
	after := now.Add

	BeforeEach(func() {
		watch = quarantine.NewWatch()
	})

	It("reports each request once if its upstream has ended", func() {
		Expect(watch.Interrupted(now, endpoint("e1"), suspect("a"))).To(BeTrue(), "the first interruption causes a probe")
		Expect(watch.Interrupted(now, endpoint("e1"), suspect("b"))).To(BeFalse())
		Expect(watch.TakeDue(after(time.Second)).Reports).To(BeEmpty(), "it may be alive")
		watch.Observe(lifetime("e1"), quarantine.StatusRefused)
		Expect(watch.IsPending()).To(BeTrue())
		Expect(watch.TakeDue(after(time.Second)).Reports).To(Equal([]quarantine.Report{
			{Lifetime: lifetime("e1"), Suspects: []quarantine.Suspect{suspect("a"), suspect("b")}},
		}))
		Expect(watch.IsPending()).To(BeFalse())
		Expect(watch.TakeDue(after(time.Second)).Reports).To(BeEmpty())
		watch.Interrupted(after(time.Second), endpoint("e1"), suspect("late"))
		Expect(watch.TakeDue(after(2 * time.Second)).Reports).To(Equal([]quarantine.Report{
			{Lifetime: lifetime("e1"), Suspects: []quarantine.Suspect{suspect("late")}},
		}))
	})

	It("reports an upstream that is replaced seconds later", func() {
		watch.Interrupted(now, endpoint("e1"), suspect("a"))
		watch.Review(after(3*time.Second), func(quarantine.Endpoint) quarantine.Status { return quarantine.StatusUnknown })
		watch.Review(after(6*time.Second), func(e quarantine.Endpoint) quarantine.Status {
			Expect(e).To(Equal(endpoint("e1")))
			return quarantine.StatusReplaced
		})
		Expect(watch.TakeDue(after(6 * time.Second)).Reports).To(HaveLen(1))
	})

	// A reset connection, an interrupted response or a broken link is no crash.
	It("reports nothing of an upstream that lives on or is cut off", func() {
		watch.Interrupted(now, endpoint("e1"), suspect("a"))
		for second := range 20 {
			watch.Review(after(time.Duration(second)*time.Second), func(quarantine.Endpoint) quarantine.Status {
				return quarantine.StatusUnknown
			})
		}
		watch.Observe(lifetime("e1"), quarantine.StatusRefused)
		Expect(watch.TakeDue(after(time.Minute)).Reports).To(BeEmpty())
	})

	// An upstream interrupts a response and later ends for another reason. The interrupted
	// request did not cause that.
	It("reports those that broke off together at the end alone", func() {
		Expect(watch.Interrupted(now, endpoint("e1"), suspect("lost"))).To(BeTrue())
		Expect(watch.Interrupted(after(3*time.Second), endpoint("e1"), suspect("a"))).To(BeTrue(), "the upstream is probed again")
		Expect(watch.Interrupted(after(3*time.Second+time.Millisecond), endpoint("e1"), suspect("b"))).To(BeFalse())
		watch.Observe(lifetime("e1"), quarantine.StatusRefused)
		Expect(watch.TakeDue(after(4 * time.Second)).Reports).To(Equal([]quarantine.Report{
			{Lifetime: lifetime("e1"), Suspects: []quarantine.Suspect{suspect("a"), suspect("b")}},
		}))
	})

	It("reports nothing of an upstream that had said that it goes", func() {
		watch.Interrupted(now, endpoint("e1"), suspect("a"))
		watch.Observe(lifetime("e1"), quarantine.StatusLeaving)
		watch.Observe(lifetime("e1"), quarantine.StatusRefused)
		Expect(watch.TakeDue(after(time.Second)).Reports).To(BeEmpty())
	})

	It("reports a request that its caller abandoned shortly before", func() {
		watch.Abandoned(after(-2*time.Second), endpoint("e1"), suspect("long before"))
		watch.Abandoned(after(-300*time.Millisecond), endpoint("e1"), suspect("abandoned"))
		watch.Interrupted(now, endpoint("e1"), suspect("a"))
		watch.Observe(lifetime("e1"), quarantine.StatusRefused)
		Expect(watch.TakeDue(after(time.Second)).Reports).To(Equal([]quarantine.Report{
			{Lifetime: lifetime("e1"), Suspects: []quarantine.Suspect{suspect("abandoned"), suspect("a")}},
		}))
	})

	It("keeps a bounded number of upstreams and requests", func() {
		for n := range 1000 {
			watch.Interrupted(now, endpoint("e1"), suspect(fmt.Sprint(n)))
			watch.Interrupted(now, endpoint(fmt.Sprint("e", n)), suspect("a"))
		}
		for n := range 1000 {
			watch.Observe(lifetime(fmt.Sprint("e", n)), quarantine.StatusRefused)
		}
		reports := watch.TakeDue(after(time.Second)).Reports
		Expect(len(reports)).To(BeNumerically("<=", 256))
		for _, report := range reports {
			Expect(len(report.Suspects)).To(BeNumerically("<=", 256))
		}
	})
})
