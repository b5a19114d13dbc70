package concurrency

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/lovagelift/lovagelift/internal/rendezvous"
)

// MaxGroupSize is the largest number of upstreams in a group. One instance places the requests of a
// group: at 100 requests per second and upstream, this takes about 1,200 messages per second.
const MaxGroupSize = 4

// GroupName returns the name of a group by its number.
func GroupName(number int) string {
	return strconv.Itoa(number)
}

// Divide divides the upstreams of a service, by their distinct names, into groups of at most
// MaxGroupSize whose sizes differ as little as possible. It returns the number of the group of each
// upstream. Callers that know the same upstreams get the same groups in whatever order they list them.
// When an upstream joins or leaves, most of the others remain in their groups, unless the number of
// groups changes.
func Divide(names []string) []int {
	if len(names) == 0 {
		return nil
	}
	count := (len(names) + MaxGroupSize - 1) / MaxGroupSize
	size := (len(names) + count - 1) / count
	hashes := make([]uint64, len(names))
	order := make([]int, len(names))
	for i, name := range names {
		hashes[i], order[i] = rendezvous.Hash(name), i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(names[a], names[b]))
	})
	sizes := make([]int, count)
	groupOf := make([]int, len(names))
	for _, i := range order {
		group := firstWithRoom(hashes[i], sizes, size)
		groupOf[i] = group
		sizes[group]++
	}
	return groupOf
}

// firstWithRoom returns the group that ranks first for an upstream among those below size.
func firstWithRoom(upstream uint64, sizes []int, size int) int {
	first, highest := -1, uint64(0)
	for group, used := range sizes {
		score := rendezvous.Score(upstream, rendezvous.Hash(GroupName(group)))
		if used < size && (first < 0 || score > highest) {
			first, highest = group, score
		}
	}
	return first
}

// GroupNumber returns the number of a group by its name, 0 if no group has that name.
func GroupNumber(name string) int {
	number, err := strconv.ParseUint(name, 10, 31)
	if err != nil {
		return 0
	}
	return int(number)
}
