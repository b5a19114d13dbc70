package routes_test

import (
	"fmt"
	"testing"

	"github.com/lovagelift/lovagelift/internal/routes"
)

// BenchmarkRedirections compares two tables of 1,400 routes of one host, of which two differ.
func BenchmarkRedirections(b *testing.B) {
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
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		tables[n%2].Redirections(tables[(n+1)%2])
	}
}
