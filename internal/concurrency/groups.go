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
	hashes := make([]uint64, len(names))
	order := make([]int, len(names))
	for i, name := range names {
		hashes[i], order[i] = rendezvous.Hash(name), i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(names[a], names[b]))
	})
	groups := make([]group, count)
	for i := range groups {
		groups[i] = group{hash: rendezvous.Hash(GroupName(i)), room: len(names) / count}
		if i < len(names)%count {
			groups[i].room++
		}
	}
	groupOf := make([]int, len(names))
	for _, i := range order {
		groupOf[i] = firstWithRoom(hashes[i], groups)
		groups[groupOf[i]].room--
	}
	return groupOf
}

// group is a group that is being filled. room is the number of upstreams that it still takes.
type group struct {
	hash uint64
	room int
}

// firstWithRoom returns the group that ranks first for an upstream among those with room.
func firstWithRoom(upstream uint64, groups []group) int {
	first, highest := -1, uint64(0)
	for i, candidate := range groups {
		score := rendezvous.Score(upstream, candidate.hash)
		if candidate.room > 0 && (first < 0 || score > highest) {
			first, highest = i, score
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
