package ledger_test

import (
	"fmt"
	"testing"

	"github.com/lovagelift/lovagelift/internal/ledger"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// fullLedger returns the ledger of an engine with two accelerators, 10 models of 4
// adapters each, and 10 open orders.
func fullLedger(b *testing.B) ledger.Ledger {
	b.Helper()
	names := []string{"a0", "a1"}
	report := upstreamapi.Announcement{Incarnation: 1, Revision: 1}
	for _, name := range names {
		report.Accelerators = append(report.Accelerators, upstreamapi.Accelerator{Name: name, MemoryBytes: 1 << 20})
	}
	for i := range 10 {
		r := upstreamapi.Resident{Model: fmt.Sprintf("m%d", i), Accelerators: names, MemoryBytes: 1 << 10}
		for j := range 4 {
			r.Adapters = append(r.Adapters, fmt.Sprintf("a%d", j))
		}
		report.Resident = append(report.Resident, r)
	}
	l := ledger.Ledger{}.WithReport(report)
	for i := range 10 {
		next, err := l.WithOrder(upstreamapi.Order{
			ID: fmt.Sprintf("o%d", i), Number: uint64(i + 1), Fencing: 1, Incarnation: 1,
			Kind: upstreamapi.OrderLoadModel, Model: fmt.Sprintf("n%d", i), Accelerators: names, MemoryBytes: 1 << 10,
		})
		if err != nil {
			b.Fatal(err)
		}
		l = next
	}
	return l
}

func BenchmarkAccount(b *testing.B) {
	l := fullLedger(b)
	b.ReportAllocs()
	for b.Loop() {
		if a, _ := l.Account("a1"); a.Free() <= 0 {
			b.Fatal(a)
		}
	}
}

func BenchmarkWithOrder(b *testing.B) {
	l := fullLedger(b)
	order := upstreamapi.Order{
		ID: "o11", Number: 11, Fencing: 1, Incarnation: 1, Kind: upstreamapi.OrderLoadModel,
		Model: "n11", Accelerators: []string{"a0"}, MemoryBytes: 1 << 10,
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := l.WithOrder(order); err != nil {
			b.Fatal(err)
		}
	}
}
