package courier_test

import (
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
)

// FuzzDecodeHoldings searches for data that makes DecodeEngineStates panic, or that changes when it
// is decoded and encoded again.
func FuzzDecodeHoldings(f *testing.F) {
	f.Add(courier.EngineStates{Revision: 7, Engines: []courier.EngineState{{
		Name: "e1", Incarnation: 1790000000123, Age: time.Second, Running: 3, Queued: 1, KVUsed: 900,
		Models: []courier.LoadedModel{{Name: "m", Adapters: []string{"a1"}}}, NextModel: "n", NextModelIn: 4 * time.Second,
	}}}.Encode())
	f.Add([]byte{1, 255, 255, 255, 255, 15})
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := courier.DecodeEngineStates(data)
		if err != nil {
			return
		}
		redecoded, err := courier.DecodeEngineStates(decoded.Encode())
		if err != nil || redecoded.Revision != decoded.Revision || len(redecoded.Engines) != len(decoded.Engines) {
			t.Fatalf("changed by decoding and encoding: %v", err)
		}
	})
}
