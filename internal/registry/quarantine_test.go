package registry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/registry"
)

var _ = Describe("Crashes in the registry", func() {
	update := quarantine.Update{
		Now: time.Unix(1_000_000, 0).UTC(),
		Reports: []quarantine.Report{{
			Lifetime: quarantine.Lifetime{Upstream: "e1", Incarnation: 7},
			Suspects: []quarantine.Suspect{{Digest: quarantine.Identity{Target: "/x"}.Digest(), Request: "r1"}},
		}},
	}

	// A restarted voter must keep its crash records, or counting starts over and the
	// same request can crash three more upstreams.
	It("are there again after a snapshot, and go on counting", func() {
		r := registry.New()
		command, err := registry.Encode(update)
		Expect(err).NotTo(HaveOccurred())
		result, err := r.Apply(1, command)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Quarantine).To(Equal(uint64(1)))
		snapshot, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := registry.New()
		Expect(restored.Restore(snapshot)).To(Succeed())
		Expect(restored.CrashRecords()).To(Equal(r.CrashRecords()))
		_, err = restored.Apply(2, command)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.CrashRecords().Cases()).To(Equal(r.CrashRecords().Cases()), "the same report again")
	})

	// A voter that is not yet upgraded can't read the quarantine section.
	It("add no section to a snapshot while there are none", func() {
		snapshot, err := registry.New().Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(snapshot)).NotTo(ContainSubstring("quarantine"))
	})
})
