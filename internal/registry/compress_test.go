package registry_test

import (
	"bytes"
	"encoding/gob"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/registry"
)

// paddedDeclarations returns declarations of one preset, padded with size spaces.
func paddedDeclarations(size int) string {
	return "ordinary" + strings.Repeat(" ", size)
}

func gobEncode(view *registry.View) []byte {
	var wire bytes.Buffer
	ExpectWithOffset(1, gob.NewEncoder(&wire).Encode(view)).To(Succeed())
	return wire.Bytes()
}

var _ = Describe("large declarations", func() {
	It("are compressed in the log and decoded unchanged", func() {
		validated, err := declareChange("one", 0, paddedDeclarations(50_000)).Validated(validateDeclarations)
		Expect(err).NotTo(HaveOccurred())
		data, err := registry.Encode(validated)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<", len(validated.Declarations)/2))
		decoded, err := registry.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(validated))
	})

	It("are sent to other instances unchanged, as are small ones", func() {
		for _, size := range []int{1, 50_000} {
			r := newReplica()
			r.change(declareChange("one", 0, paddedDeclarations(size)))
			wire := gobEncode(r.View())
			Expect(gobEncode(r.View())).To(Equal(wire), "from the cache")
			var view registry.View
			Expect(gob.NewDecoder(bytes.NewReader(wire)).Decode(&view)).To(Succeed())
			Expect(view.Revision).To(Equal(r.View().Revision))
			Expect(view.Preset).To(Equal("ordinary"))
			Expect(view.Declarations).To(Equal(r.View().Declarations))
			Expect(view.At).To(Equal(startTime))
			if size > 1 {
				Expect(len(wire)).To(BeNumerically("<", len(view.Declarations)/2))
			}
		}
	})

	It("are rejected when truncated at any byte", func() {
		validated, err := declareChange("one", 0, paddedDeclarations(6_000)).Validated(validateDeclarations)
		Expect(err).NotTo(HaveOccurred())
		data, err := registry.Encode(validated)
		Expect(err).NotTo(HaveOccurred())
		for cut := range data {
			_, err := registry.Decode(data[:cut])
			Expect(err).To(HaveOccurred(), "cut at %d", cut)
		}
		compressed, err := registry.Compress(validated.Declarations)
		Expect(err).NotTo(HaveOccurred())
		for cut := 1; cut < len(compressed); cut++ {
			_, err := registry.Decompress(compressed[:cut])
			Expect(err).To(HaveOccurred(), "cut at %d", cut)
		}
	})

	It("are rejected when they would decompress beyond the size limit", func() {
		zeros, err := registry.Compress(make([]byte, registry.MaxDecompressedBytes+1))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(zeros)).To(BeNumerically("<", 1<<20))
		_, err = registry.Decompress(zeros)
		Expect(err).To(MatchError(ContainSubstring("more than 33554432 bytes")))
	})
})
