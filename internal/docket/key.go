package docket

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Key names a record: the digest of a service and a caller's idempotency key.
// A digest is of one size however long the key is, and nothing that a caller
// wrote into a key lies in the log.
type Key [sha256.Size]byte

// KeyOf returns the Key of a caller's idempotency key within a service.
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

// Fingerprint tells whether two requests with one Key are the same request.
type Fingerprint [16]byte

// FingerprintOf returns the Fingerprint of a request from its parts, such as
// method, path and body.
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

// digest hashes the parts, each behind its length, so that no two lists of
// parts hash the same bytes.
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

func decodeHex(to, text []byte, what string) error {
	if len(text) != hex.EncodedLen(len(to)) {
		return errors.Newf("docket: a %s has %d hexadecimal digits, not %d", what, hex.EncodedLen(len(to)), len(text))
	}
	if _, err := hex.Decode(to, text); err != nil {
		return errors.Newf("docket: %s: %v", what, err)
	}
	return nil
}
