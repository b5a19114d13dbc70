package routes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/routes"
)

// BenchmarkHistoryReplace replaces a table of 1,400 routes of one host, of which one moves.
func BenchmarkHistoryReplace(b *testing.B) {
	tables := make([]*routes.Table, 2)
	for i := range tables {
		var all []routes.Route
		for n := range 1400 {
			route := routes.Route{Name: fmt.Sprint("r", n), Prefix: fmt.Sprintf("/r%d/", n), Shares: []routes.Share{{Service: "pool", Weight: 1}}}
			if n == i {
				route.Shares[0].Service = "desk"
			}
			all = append(all, route)
		}
		table, err := routes.New(draft(all...))
		if err != nil {
			b.Fatal(err)
		}
		tables[i] = table
	}
	var history routes.History
	now := time.Now()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		history.Replace(now, tables[n%2], tables[(n+1)%2], time.Minute)
	}
}
