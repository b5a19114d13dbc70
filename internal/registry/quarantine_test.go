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

	// Every voter that starts anew must know what it knew, or a request crashes three more.
	It("are there again after a snapshot, and go on counting", func() {
		r := registry.New()
		command, err := registry.Encode(update)
		Expect(err).NotTo(HaveOccurred())
		result, err := r.Apply(1, command)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Quarantine).To(Equal(uint64(1)))
		snapshot, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		other := registry.New()
		Expect(other.Restore(snapshot)).To(Succeed())
		Expect(other.Crashes()).To(Equal(r.Crashes()))
		_, err = other.Apply(2, command)
		Expect(err).NotTo(HaveOccurred())
		Expect(other.Crashes().Cases()).To(Equal(r.Crashes().Cases()), "the same report again")
	})

	// A voter that was not upgraded yet can't read the section.
	It("leave a snapshot without any as it was before there were any", func() {
		snapshot, err := registry.New().Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(snapshot)).NotTo(ContainSubstring("quarantine"))
	})
})
