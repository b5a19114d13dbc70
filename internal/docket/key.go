package docket

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Key identifies a record. It is a digest of a service and a caller's idempotency
// key. The digest has a fixed size and keeps the content of callers' keys out of
// the replicated log.
type Key [sha256.Size]byte

// KeyOf returns the Key for an idempotency key of a service.
func KeyOf(service, key string) Key {
	return Key(digest([]byte(service), []byte(key)))
}

// MarshalText returns the key in hexadecimal.
func (k Key) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, k[:]), nil
}

// UnmarshalText sets k to the hexadecimal key in text.
func (k *Key) UnmarshalText(text []byte) error {
	return decodeHex(k[:], text, "key")
}

// Fingerprint is a digest of a request. Requests with the same Key must have the
// same Fingerprint.
type Fingerprint [16]byte

// FingerprintOf returns the Fingerprint of a request with the given parts, such as
// its method, path and body.
func FingerprintOf(parts ...[]byte) Fingerprint {
	sum := digest(parts...)
	return Fingerprint(sum[:len(Fingerprint{})])
}

// MarshalText returns the fingerprint in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, f[:]), nil
}

// UnmarshalText sets f to the hexadecimal fingerprint in text.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	return decodeHex(f[:], text, "fingerprint")
}

// digest hashes the parts, each preceded by its length, so that different lists
// of parts never produce the same hash input.
func digest(parts ...[]byte) []byte {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return hash.Sum(nil)
}

func decodeHex(destination, text []byte, name string) error {
	if len(text) != hex.EncodedLen(len(destination)) {
		return errors.Newf("docket: a %s has %d hexadecimal digits, not %d", name, hex.EncodedLen(len(destination)), len(text))
	}
	if _, err := hex.Decode(destination, text); err != nil {
		return errors.Newf("docket: %s: %v", name, err)
	}
	return nil
}
