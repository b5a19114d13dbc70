package roster

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Site is where an instance stands among the others.
type Site struct {
	Name          string
	FailureDomain string
	Voter         bool
}

// Sources is whom an instance pulls from.
type Sources struct {
	// All are pulled from.
	All []string
	// FirstOf are pulled from if those before them do not answer.
	FirstOf []string
	// Direct are pulled from for the members that tell them themselves.
	Direct []string
}

const (
	// meshSize is up to how many instances each pulls from every other. Beyond,
	// the calls would grow with the square of their number.
	meshSize = 16
	// hubsEach is how many voters pull from an instance that is none, so that
	// what only it has heard outlives one of them.
	hubsEach = 2
)

// SourcesOf returns whom self pulls from, given the others that are alive.
//
// Few instances all pull from each other. Many that are no voters pull from one
// voter each, the voters from each other and from those that lean on them: news
// are everywhere after three pulls, and an instance's bytes grow with the
// members, not with the members times the instances.
func SourcesOf(self Site, others []Site) Sources {
	var voters, rest []Site
	for _, other := range others {
		if other.Voter {
			voters = append(voters, other)
		} else {
			rest = append(rest, other)
		}
	}
	if len(others) < meshSize || len(voters) == 0 {
		return Sources{All: names(others)}
	}
	if !self.Voter {
		return Sources{FirstOf: names(ranked(self, voters))}
	}
	sources := Sources{All: names(voters)}
	for _, other := range rest {
		hubs := ranked(other, append(slices.Clone(voters), self))
		if slices.Contains(hubs[:min(hubsEach, len(hubs))], self) {
			sources.Direct = append(sources.Direct, other.Name)
		}
	}
	return sources
}

// ranked returns the voters in the order in which an instance leans on them:
// those of its own failure domain first, and among equals by rendezvous hashing,
// which spreads the instances evenly and moves few of them when a voter is lost.
func ranked(instance Site, voters []Site) []Site {
	sorted := slices.Clone(voters)
	slices.SortFunc(sorted, func(a, b Site) int {
		if near := cmp.Compare(distance(instance, a), distance(instance, b)); near != 0 {
			return near
		}
		if weight := cmp.Compare(rendezvous(instance.Name, b.Name), rendezvous(instance.Name, a.Name)); weight != 0 {
			return weight
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return sorted
}

func distance(a, b Site) int {
	if a.FailureDomain == b.FailureDomain {
		return 0
	}
	return 1
}

func rendezvous(instance, voter string) uint64 {
	hash := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(instance))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(voter))
	return mixed(hash.Sum64())
}

// mixed spreads a hash over all its bits. FNV leaves names that end alike near
// each other, and one voter would get most of the instances.
func mixed(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

func names(sites []Site) []string {
	list := make([]string, 0, len(sites))
	for _, site := range sites {
		list = append(list, site.Name)
	}
	return list
}
