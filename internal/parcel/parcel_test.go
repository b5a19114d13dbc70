package parcel_test

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/parcel"
)

var _ = Describe("Reader", func() {
	record := func() []byte {
		buffer := parcel.AppendUint(nil, math.MaxUint64)
		buffer = parcel.AppendBytes(buffer, "kgn-a")
		buffer = parcel.AppendBytes(buffer, []byte{})
		return append(buffer, 7)
	}

	It("returns the appended fields", func() {
		r := parcel.NewReader(record())
		Expect(r.Uint()).To(Equal(uint64(math.MaxUint64)))
		Expect(r.String()).To(Equal("kgn-a"))
		Expect(r.Bytes()).To(BeNil())
		Expect(r.Byte()).To(Equal(byte(7)))
		Expect(r.End()).To(Succeed())
	})

	It("reports leftover bytes", func() {
		r := parcel.NewReader(record())
		r.Uint()
		Expect(r.End()).To(MatchError(ContainSubstring("8 bytes too many")))
	})

	It("reports truncation at any position", func() {
		whole := record()
		for cut := range whole {
			r := parcel.NewReader(whole[:cut])
			r.Uint()
			_ = r.String()
			r.Bytes()
			r.Byte()
			Expect(r.End()).To(MatchError(parcel.ErrTruncated))
		}
	})

	It("rejects a count larger than the remaining bytes", func() {
		r := parcel.NewReader(parcel.AppendUint(nil, 1<<40))
		Expect(r.Count()).To(BeZero())
		Expect(r.End()).To(MatchError(parcel.ErrTruncated))
	})
})
