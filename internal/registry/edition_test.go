package registry_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/registry"
)

var _ = Describe("Editions in the registry", func() {
	apply := func(r *registry.Registry, put edition.Put) edition.Result {
		GinkgoHelper()
		command, err := registry.Encode(put)
		Expect(err).NotTo(HaveOccurred())
		result, err := r.Apply(r.AppliedIndex()+1, command)
		Expect(err).NotTo(HaveOccurred())
		decoded, err := registry.DecodeResult(result.Encode())
		Expect(err).NotTo(HaveOccurred())
		return *decoded.Edition
	}
	// The content is large enough to be compressed in the command.
	content := []byte(strings.Repeat(`{"route":"somewhere"}`, 1000))

	It("keep their content byte for byte, also after a snapshot", func() {
		r := registry.New()
		Expect(apply(r, edition.Put{Version: 4, Content: content}).Verdict).To(Equal(edition.Stored))
		Expect(r.Edition().Content).To(Equal(content))
		snapshot, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := registry.New()
		Expect(restored.Restore(snapshot)).To(Succeed())
		Expect(restored.Edition()).To(Equal(r.Edition()))
		Expect(apply(restored, edition.Put{Version: 4, Content: content}).Verdict).To(Equal(edition.AlreadyInForce))
	})

	// A voter that is not yet upgraded can't read the edition section. It must be
	// able to restore an upgraded voter's snapshot as long as there is no edition.
	It("add no section to a snapshot while there is no edition", func() {
		snapshot, err := registry.New().Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(snapshot)).NotTo(ContainSubstring("edition"))
	})
})
