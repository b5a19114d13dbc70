package courier_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
)

// statesOf returns the states of the given number of engines, each with two models of two adapters.
func statesOf(engines int) courier.EngineStates {
	states := courier.EngineStates{Revision: 1<<32 + 1}
	for i := range engines {
		states.Engines = append(states.Engines, courier.EngineState{
			Name: fmt.Sprintf("i-%010x", i), Age: 100 * time.Millisecond, Running: 9, Queued: 1, KVUsed: 40_000,
			Models: []courier.LoadedModel{
				{Name: fmt.Sprintf("model%05d", i), Adapters: []string{"a1", "a2"}},
				{Name: fmt.Sprintf("model%05d", i+1), Adapters: []string{"a3", "a4"}},
			},
		})
	}
	return states
}

// BenchmarkHoldings encodes the states of 140 engines in their own format, and with gob for
// comparison.
func BenchmarkHoldings(b *testing.B) {
	states := statesOf(140)
	b.Run("once", func(b *testing.B) {
		for b.Loop() {
			states.Encode()
		}
		b.ReportMetric(float64(len(states.Encode())), "bytes")
	})
	b.Run("gob", func(b *testing.B) {
		var buffer bytes.Buffer
		encoder := gob.NewEncoder(&buffer)
		for b.Loop() {
			buffer.Reset()
			if err := encoder.Encode(states); err != nil {
				b.Fatal(err)
			}
		}
	})
}
