package lease_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/lease"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

var _ = Describe("Leases", func() {
	It("name the last holder of each upstream, also after a snapshot is restored", func() {
		leases := lease.Leases{}.
			With(lease.Take{Holder: "a", Upstreams: []string{"e1", "e2", "e3"}}).
			With(lease.Take{Holder: "b", Upstreams: []string{"e2"}, Forget: []string{"e3"}})
		restored, err := lease.Restore(leases.Snapshot())
		Expect(err).NotTo(HaveOccurred())
		for _, l := range []lease.Leases{leases, restored} {
			Expect(l.Upstreams()).To(Equal([]string{"e1", "e2"}))
			Expect(l.Holder("e1")).To(Equal("a"))
			Expect(l.Holder("e2")).To(Equal("b"))
			Expect(l.Holder("e3")).To(BeEmpty())
		}
	})

	It("reject a truncated snapshot", func() {
		snapshot := lease.Leases{}.With(lease.Take{Holder: "a", Upstreams: []string{"e1"}}).Snapshot()
		_, err := lease.Restore(snapshot[:len(snapshot)-1])
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Observations", func() {
	const wait = 4 * time.Second

	It("make an instance wait only for upstreams whose leases another instance took", func() {
		o := lease.NewObservations("b")
		o.Record(start, lease.Take{Holder: "a", Upstreams: []string{"e1"}})
		o.Record(start, lease.Take{Holder: "b", Upstreams: []string{"e2"}})
		later := start.Add(time.Second)
		Expect(o.Free(later, "e1", wait)).To(BeFalse())
		Expect(o.Free(later, "e2", wait)).To(BeTrue())
		Expect(o.Free(later, "e3", wait)).To(BeTrue())
		Expect(o.Free(start.Add(wait), "e1", wait)).To(BeTrue())
	})

	// An instance takes a lease right after another instance, restarts and restores a
	// snapshot that names itself as the holder. The other instance may have sent an
	// order just before, so without a wait the upstream could get orders from both.
	It("make an instance wait for all upstreams after a restart", func() {
		leases := lease.Leases{}.
			With(lease.Take{Holder: "a", Upstreams: []string{"e1"}}).
			With(lease.Take{Holder: "b", Upstreams: []string{"e1"}})
		o := lease.NewObservations("b")
		o.Reset(start, leases)
		Expect(o.Free(start.Add(time.Second), "e1", wait)).To(BeFalse())
	})
})
