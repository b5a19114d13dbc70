package registry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/departure"
	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

var _ = Describe("Departures in the registry", func() {
	// A voter that restarts from a snapshot must know which upstreams have left.
	It("are there again after a snapshot", func() {
		r := registry.New()
		leave := upstreamapi.Leave{Name: "e1", Incarnation: 7}
		command, err := registry.Encode(departure.Update{Now: time.Unix(1_000_000, 0).UTC(), Leaves: []upstreamapi.Leave{leave}})
		Expect(err).NotTo(HaveOccurred())
		result, err := r.Apply(1, command)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Departure).To(Equal(uint64(1)))
		snapshot, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := registry.New()
		Expect(restored.Restore(snapshot)).To(Succeed())
		Expect(restored.Departures()).To(Equal(r.Departures()))
		Expect(restored.Departures().Covers(time.Unix(1_000_000, 0), leave)).To(BeTrue())
	})

	// A voter that is not yet upgraded can't read the section.
	It("add no section to a snapshot while there are none", func() {
		snapshot, err := registry.New().Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(snapshot)).NotTo(ContainSubstring("departures"))
	})
})
