package courier_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
)

// heldBy returns what so many engines hold, two models with two adapters each.
func heldBy(engines int) courier.Holdings {
	held := courier.Holdings{Revision: 1<<32 + 1}
	for i := range engines {
		held.Engines = append(held.Engines, courier.Holding{
			Name: fmt.Sprintf("i-%010x", i), Age: 100 * time.Millisecond, Running: 9, Queued: 1, KVUsed: 40_000,
			Models: []courier.HeldModel{
				{Name: fmt.Sprintf("model%05d", i), Adapters: []string{"a1", "a2"}},
				{Name: fmt.Sprintf("model%05d", i+1), Adapters: []string{"a3", "a4"}},
			},
		})
	}
	return held
}

// BenchmarkHoldings encodes what 140 engines hold, as it is told now and as it would
// be told within each answer.
func BenchmarkHoldings(b *testing.B) {
	held := heldBy(140)
	b.Run("once", func(b *testing.B) {
		for b.Loop() {
			held.Encode()
		}
		b.ReportMetric(float64(len(held.Encode())), "bytes")
	})
	b.Run("gob", func(b *testing.B) {
		var buffer bytes.Buffer
		encoder := gob.NewEncoder(&buffer)
		for b.Loop() {
			buffer.Reset()
			if err := encoder.Encode(held); err != nil {
				b.Fatal(err)
			}
		}
	})
}
