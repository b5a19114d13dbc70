package entries

import (
	"crypto/sha256"
	"encoding/binary"
)

// hash returns an evenly distributed hash of caller and name. It is the same in all
// processes, because all instances must give a caller the same answer.
func hash(caller, name string) uint64 {
	text := make([]byte, 0, len(caller)+1+len(name))
	text = append(text, caller...)
	text = append(text, 0)
	text = append(text, name...)
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:])
}

// fractionBits is the number of bits of an integer that a float64 holds exactly.
const fractionBits = 53

// fraction maps hash to a number above 0 and below 1, in the same order.
func fraction(hash uint64) float64 {
	return (float64(hash>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
}
