// Package rendezvous implements rendezvous hashing: it ranks candidates for a key. Callers
// that know the same candidates agree on the first one. Adding or removing a candidate affects only
// the keys for which it ranks first.
package rendezvous

import "hash/fnv"

// Hash returns the hash of a name. Callers that compute many scores should keep it.
func Hash(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return mix(sum.Sum64())
}

// Score returns the score of a candidate for a key from their hashes. The candidate with
// the highest score ranks first.
func Score(key, candidate uint64) uint64 {
	return mix(key ^ candidate)
}

// mix is the finalizer of SplitMix64. It spreads the bits of a hash, so that the hashes
// of similar names are practically independent.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
