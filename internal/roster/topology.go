package roster

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Location is the position of an instance in the cluster.
type Location struct {
	Name          string
	FailureDomain string
	Voter         bool
}

// Sources are the instances that an instance pulls from.
type Sources struct {
	// All are pulled from in every round.
	All []string
	// Alternatives are the instances of which only the first that replies is pulled from.
	Alternatives []string
	// Direct are pulled from for the members that report to them directly.
	Direct []string
}

const (
	// maxMeshSize is the number of instances up to which each pulls from every other. Beyond it,
	// the number of calls would grow with the square of the number of instances.
	maxMeshSize = 16
	// pullersPerInstance is the number of voters that pull from each non-voter, so that changes
	// that only the non-voter knows survive the loss of one of these voters.
	pullersPerInstance = 2
)

// SelectSources returns the instances that self pulls from. others are the other live instances.
//
// In a small cluster, all instances pull from each other. In a large one, a non-voter pulls from
// one voter; a voter pulls from the other voters and from the non-voters assigned to it. A change
// then reaches every instance in three pulls, and the bytes per instance grow with the number of
// members, not with members times instances.
func SelectSources(self Location, others []Location) Sources {
	var voters, nonVoters []Location
	for _, other := range others {
		if other.Voter {
			voters = append(voters, other)
		} else {
			nonVoters = append(nonVoters, other)
		}
	}
	if len(others) < maxMeshSize || len(voters) == 0 {
		return Sources{All: locationNames(others)}
	}
	if !self.Voter {
		return Sources{Alternatives: locationNames(rankVoters(self, voters))}
	}
	sources := Sources{All: locationNames(voters)}
	for _, other := range nonVoters {
		pullers := rankVoters(other, append(slices.Clone(voters), self))
		if slices.Contains(pullers[:min(pullersPerInstance, len(pullers))], self) {
			sources.Direct = append(sources.Direct, other.Name)
		}
	}
	return sources
}

// rankVoters returns the voters in the order in which an instance prefers them: those in its own
// failure domain first, then by rendezvous hashing, which distributes the instances evenly and
// reassigns few of them when a voter is lost.
func rankVoters(instance Location, voters []Location) []Location {
	ranked := slices.Clone(voters)
	slices.SortFunc(ranked, func(a, b Location) int {
		if byDistance := cmp.Compare(distance(instance, a), distance(instance, b)); byDistance != 0 {
			return byDistance
		}
		if byHash := cmp.Compare(rendezvousHash(instance.Name, b.Name), rendezvousHash(instance.Name, a.Name)); byHash != 0 {
			return byHash
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return ranked
}

func distance(a, b Location) int {
	if a.FailureDomain == b.FailureDomain {
		return 0
	}
	return 1
}

func rendezvousHash(instance, voter string) uint64 {
	hash := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(instance))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(voter))
	return mixBits(hash.Sum64())
}

// mixBits distributes the entropy of a hash over all its bits. FNV gives similar hashes to names
// that end alike, and one voter would be assigned most of the instances.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

func locationNames(locations []Location) []string {
	names := make([]string, 0, len(locations))
	for _, location := range locations {
		names = append(names, location.Name)
	}
	return names
}
