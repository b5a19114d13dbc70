package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/cockroachdb/errors"
)

// Digest names a request: two attempts with the same digest are the same request. No
// caller can make two requests with one digest on purpose.
type Digest [sha256.Size]byte

// Identity is what two attempts at the same request have in common.
type Identity struct {
	// Caller is who sends it, as far as that is known.
	Caller string
	Method string
	Host   string
	// Target is the path and query.
	Target string
	Body   []byte
}

// Digest returns the digest of the request.
func (i Identity) Digest() Digest {
	hash := sha256.New()
	for _, field := range []string{i.Caller, i.Method, i.Host, i.Target} {
		// The lengths keep the end of one field from passing for the start of the next.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:])
		_, _ = io.WriteString(hash, field)
	}
	hash.Write(i.Body)
	return Digest(hash.Sum(nil))
}

// shortBytes is how much of a digest tells requests apart in logs.
const shortBytes = 8

// Short returns the beginning of the digest for logs, in hexadecimal.
func (d Digest) Short() string {
	return hex.EncodeToString(d[:shortBytes])
}

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText takes over the digest that text is the hexadecimal form of. If text is
// no digest, it returns an error.
func (d *Digest) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(d) {
		return errors.Newf("quarantine: %q is no digest of %d bytes in hexadecimal", text, len(d))
	}
	copy(d[:], decoded)
	return nil
}
