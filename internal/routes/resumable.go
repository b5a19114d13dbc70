package routes

import (
	"cmp"
	"hash/fnv"
	"io"
	"maps"
	"slices"
)

// indexResumable sets what the table tells of the routes whose streams may be resumed.
func (t *Table) indexResumable(list []Route) {
	var resumable []Route
	t.resumableServices = map[string]bool{}
	for _, route := range list {
		if route.HasResumableStreams() {
			resumable = append(resumable, route)
			maps.Copy(t.resumableServices, route.Services())
			t.resumableTimeout = max(t.resumableTimeout, route.Timeout)
		}
	}
	slices.SortFunc(resumable, func(a, b Route) int { return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix)) })
	sum := fnv.New64a()
	for _, route := range resumable {
		for _, text := range slices.Concat([]string{route.Host, route.Prefix}, slices.Sorted(maps.Keys(route.Services()))) {
			_, _ = io.WriteString(sum, text)
			_, _ = sum.Write([]byte{0})
		}
		_, _ = sum.Write([]byte{1})
	}
	t.resumableDigest = max(sum.Sum64(), 1)
}
