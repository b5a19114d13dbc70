package courier_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
)

var _ = Describe("Holdings", func() {
	held := courier.Holdings{Revision: 7<<32 + 3, Engines: []courier.Holding{
		{Name: "e1", Age: 120 * time.Millisecond, Running: 3, Queued: 1, KVUsed: 4100, Models: []courier.HeldModel{
			{Name: "a", Adapters: []string{"a1", "a2"}}, {Name: "b"},
		}},
		{Name: "e2"},
	}}

	It("are decoded as they were encoded", func() {
		again, err := courier.DecodeHoldings(held.Encode())
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(held))
	})

	It("are refused wherever they are cut short", func() {
		data := held.Encode()
		for length := range data {
			_, err := courier.DecodeHoldings(data[:length])
			Expect(err).To(HaveOccurred(), "after %d bytes", length)
		}
	})
})
