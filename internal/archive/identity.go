package archive

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"strconv"

	"github.com/cockroachdb/errors"
)

const identityFormat = 1

// identity is the content of the identity file, which is made with the data
// folder. A folder that was lost and made anew has another number.
type identity struct {
	Format int `json:"format"`
	// Number is hexadecimal, drawn at random.
	Number string `json:"number"`
	// ClusterID is empty until the voter has joined a cluster, and then never
	// changes.
	ClusterID string `json:"cluster-id"`
	// Checksum is the CRC-32C of the other fields.
	Checksum string `json:"checksum"`
}

func drawIdentity() (identity, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return identity{}, errors.Wrap(err, "archive: draw the folder's number")
	}
	return identity{Format: identityFormat, Number: fmt.Sprintf("%016x", binary.LittleEndian.Uint64(random[:]))}, nil
}

func (i identity) sum() string {
	text := fmt.Sprintf("%d/%s/%s", i.Format, i.Number, i.ClusterID)
	return fmt.Sprintf("%08x", crc32.Checksum([]byte(text), castagnoli))
}

func (i identity) encode() []byte {
	i.Checksum = i.sum()
	text, _ := json.MarshalIndent(i, "", "  ") // Strings and numbers always encode.
	return append(text, '\n')
}

func decodeIdentity(text []byte) (i identity, number uint64, err error) {
	if err := json.Unmarshal(text, &i); err != nil {
		return identity{}, 0, errors.Newf("is no identity file: %v", err)
	}
	if i.Format > identityFormat {
		return identity{}, 0, newerError{version: byte(i.Format)}
	}
	if !bytes.Equal(i.encode(), text) {
		return identity{}, 0, errors.New("the checksum or the form is not what was written")
	}
	number, err = strconv.ParseUint(i.Number, 16, 64)
	return i, number, err
}
