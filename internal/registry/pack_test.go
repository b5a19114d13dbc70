package registry_test

import (
	"bytes"
	"encoding/gob"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/registry"
)

// large returns declarations of that many bytes, as package check of these tests
// knows them, for one preset.
func large(size int) string {
	return "ordinary" + strings.Repeat(" ", size)
}

func gobbed(view *registry.View) []byte {
	var wire bytes.Buffer
	ExpectWithOffset(1, gob.NewEncoder(&wire).Encode(view)).To(Succeed())
	return wire.Bytes()
}

var _ = Describe("large declarations", func() {
	It("take a fraction of their size in the log and come out as they were", func() {
		prepared, err := declare("one", 0, large(50_000)).Prepare(check)
		Expect(err).NotTo(HaveOccurred())
		data, err := registry.Encode(prepared)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<", len(prepared.Declarations)/2))
		decoded, err := registry.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(prepared))
	})

	It("reach other instances as they were, small ones too", func() {
		for _, size := range []int{1, 50_000} {
			r := newReplica()
			r.change(declare("one", 0, large(size)))
			wire := gobbed(r.View())
			Expect(gobbed(r.View())).To(Equal(wire), "the second time")
			var view registry.View
			Expect(gob.NewDecoder(bytes.NewReader(wire)).Decode(&view)).To(Succeed())
			Expect(view.Revision).To(Equal(r.View().Revision))
			Expect(view.Preset).To(Equal("ordinary"))
			Expect(view.Declarations).To(Equal(r.View().Declarations))
			Expect(view.At).To(Equal(start))
			if size > 1 {
				Expect(len(wire)).To(BeNumerically("<", len(view.Declarations)/2))
			}
		}
	})

	It("are refused when a byte is missing at any place", func() {
		prepared, err := declare("one", 0, large(6_000)).Prepare(check)
		Expect(err).NotTo(HaveOccurred())
		data, err := registry.Encode(prepared)
		Expect(err).NotTo(HaveOccurred())
		for cut := range data {
			_, err := registry.Decode(data[:cut])
			Expect(err).To(HaveOccurred(), "cut at %d", cut)
		}
		packed, err := registry.Pack(prepared.Declarations)
		Expect(err).NotTo(HaveOccurred())
		for cut := 1; cut < len(packed); cut++ {
			_, err := registry.Unpack(packed[:cut])
			Expect(err).To(HaveOccurred(), "cut at %d", cut)
		}
	})

	It("are refused when they would grow beyond all bounds", func() {
		zeros, err := registry.Pack(make([]byte, registry.MaxUnpacked+1))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(zeros)).To(BeNumerically("<", 1<<20))
		_, err = registry.Unpack(zeros)
		Expect(err).To(MatchError(ContainSubstring("more than 33554432 bytes")))
	})
})
