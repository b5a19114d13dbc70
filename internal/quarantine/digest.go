package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/cockroachdb/errors"
)

// Digest identifies a request: all attempts at a request have the same digest. It is a
// cryptographic hash, so that no caller can construct two requests with the same digest.
type Digest [sha256.Size]byte

// Identity holds the parts of a request that are the same in all its attempts.
type Identity struct {
	// Caller is empty if the caller is unknown.
	Caller string
	Method string
	Host   string
	// Target is the path and the query.
	Target string
	Body   []byte
}

// Digest returns the digest of the request.
func (i Identity) Digest() Digest {
	hash := sha256.New()
	for _, field := range []string{i.Caller, i.Method, i.Host, i.Target} {
		writeField(hash, field)
	}
	hash.Write(i.Body)
	return Digest(hash.Sum(nil))
}

// PartDigest returns the digest of a part of a prompt. Its id is the same in all requests that
// contain the part. No request has the same digest.
func PartDigest(id string) Digest {
	hash := sha256.New()
	writeField(hash, "prompt part")
	writeField(hash, id)
	return Digest(hash.Sum(nil))
}

// writeField writes a field with its length. Without the length, text could move from one field
// to the next without a change of the digest.
func writeField(hash hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	hash.Write(length[:])
	_, _ = io.WriteString(hash, field)
}

// shortBytes is the number of bytes of a digest in a log line.
const shortBytes = 8

// Short returns the first bytes of the digest in hexadecimal, for logs.
func (d Digest) Short() string {
	return hex.EncodeToString(d[:shortBytes])
}

// maxShortDigests bounds the digests in a log line.
const maxShortDigests = 16

// ShortDigests returns the first bytes of the first digests in hexadecimal, for logs.
func ShortDigests(digests []Digest) []string {
	digests = digests[:min(len(digests), maxShortDigests)]
	short := make([]string, 0, len(digests))
	for _, digest := range digests {
		short = append(short, digest.Short())
	}
	return short
}

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText decodes a digest in hexadecimal.
func (d *Digest) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(d) {
		return errors.Newf("quarantine: %q is no digest of %d bytes in hexadecimal", text, len(d))
	}
	copy(d[:], decoded)
	return nil
}
