package entries

import (
	"crypto/sha256"
	"encoding/binary"
)

// hash returns a number that is spread evenly over caller and name, the same in
// all processes: two instances must tell a caller the same.
func hash(caller, name string) uint64 {
	text := make([]byte, 0, len(caller)+1+len(name))
	text = append(text, caller...)
	text = append(text, 0)
	text = append(text, name...)
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:])
}

// fractionBits is the number of bits that a float64 holds exactly.
const fractionBits = 53

// fraction returns a number over 0 and under 1 that grows with hash.
func fraction(hash uint64) float64 {
	return (float64(hash>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
}
