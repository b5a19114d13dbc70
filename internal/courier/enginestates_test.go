package courier_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
)

var _ = Describe("EngineStates", func() {
	states := courier.EngineStates{Revision: 7<<32 + 3, Engines: []courier.EngineState{
		{Name: "e1", Age: 120 * time.Millisecond, Running: 3, Queued: 1, KVUsed: 4100, Models: []courier.LoadedModel{
			{Name: "a", Adapters: []string{"a1", "a2"}}, {Name: "b"},
		}},
		{Name: "e2"},
	}}

	It("are unchanged by encoding and decoding", func() {
		decoded, err := courier.DecodeEngineStates(states.Encode())
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(states))
	})

	It("are rejected wherever they are truncated", func() {
		data := states.Encode()
		for length := range data {
			_, err := courier.DecodeEngineStates(data[:length])
			Expect(err).To(HaveOccurred(), "cut after %d bytes", length)
		}
	})
})
