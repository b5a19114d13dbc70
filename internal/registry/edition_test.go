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
		result, err := r.Apply(r.Applied()+1, command)
		Expect(err).NotTo(HaveOccurred())
		again, err := registry.DecodeResult(result.Encode())
		Expect(err).NotTo(HaveOccurred())
		return *again.Edition
	}
	// The content is large enough to be packed on its way.
	content := []byte(strings.Repeat(`{"route":"somewhere"}`, 1000))

	It("hold what was put byte by byte, also after a snapshot", func() {
		r := registry.New()
		Expect(apply(r, edition.Put{Version: 4, Content: content}).Verdict).To(Equal(edition.Stored))
		Expect(r.Edition().Content).To(Equal(content))
		snapshot, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		other := registry.New()
		Expect(other.Restore(snapshot)).To(Succeed())
		Expect(other.Edition()).To(Equal(r.Edition()))
		Expect(apply(other, edition.Put{Version: 4, Content: content}).Verdict).To(Equal(edition.Held))
	})

	// A voter that was not upgraded yet must be able to read the snapshot of one
	// that was, as long as nothing is in it that it can't know.
	It("leave a snapshot without an edition as it was before there were any", func() {
		snapshot, err := registry.New().Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(snapshot)).NotTo(ContainSubstring("edition"))
	})
})
