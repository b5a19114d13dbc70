package counter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
)

var _ = Describe("The directory of an entry instance", func() {
	// Guards against all callers connecting to the few instances that sync first after a restart of
	// all.
	It("names no instance in the first second", SpecTimeout(specTimeout), func(SpecContext) {
		p := newTestProxy()
		Eventually(p.firstSynced).Should(BeTrue())
		now := time.Now()
		Expect(p.proxy.OpenEntries(now)).To(BeNil())
		Expect(p.proxy.OpenEntries(now.Add(2 * time.Second))).To(Equal(openEntries))
	})

	It("leaves itself out once it drains", SpecTimeout(specTimeout), func(SpecContext) {
		p := newTestProxy()
		Eventually(p.firstSynced).Should(BeTrue())
		p.proxy.Drain(p.now(), counter.Grace{Wait: specTimeout})
		open := p.proxy.OpenEntries(time.Now().Add(2 * time.Second))
		Expect(open).To(Equal(map[string][]string{"here": {"127.0.0.1:3"}, "there": {"127.0.0.1:4"}}))
		Expect(openEntries["here"]).To(HaveLen(2), "the shared list is unchanged")
	})
})
