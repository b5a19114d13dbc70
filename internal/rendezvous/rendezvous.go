// Package rendezvous ranks candidates for a key (rendezvous hashing). All who know the same
// candidates agree on the first; when a candidate comes or goes, only the keys change theirs
// that had it first.
package rendezvous

import "hash/fnv"

// Hash returns the hash of a name, to be kept where many scores are taken.
func Hash(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return mix(sum.Sum64())
}

// Score returns the score of a candidate for a key, by their hashes. The highest is first.
func Score(key, candidate uint64) uint64 {
	return mix(key ^ candidate)
}

// mix spreads the bits of a hash, so that the hashes of similar names are as good as
// independent (the finalizer of SplitMix64).
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
