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

const identityFormatVersion = 1

// identity is the content of the identity file, which Open creates in a new data
// folder. A folder that was lost and created again has another number.
type identity struct {
	Format int `json:"format"`
	// Number is a random number in hexadecimal.
	Number string `json:"number"`
	// ClusterID is empty until the voter joins a cluster. It never changes
	// afterwards.
	ClusterID string `json:"cluster-id"`
	// Checksum is the CRC-32C of the other fields.
	Checksum string `json:"checksum"`
}

func newIdentity() (identity, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return identity{}, errors.Wrap(err, "archive: draw the folder's number")
	}
	return identity{Format: identityFormatVersion, Number: fmt.Sprintf("%016x", binary.LittleEndian.Uint64(random[:]))}, nil
}

func (i identity) checksum() string {
	text := fmt.Sprintf("%d/%s/%s", i.Format, i.Number, i.ClusterID)
	return fmt.Sprintf("%08x", crc32.Checksum([]byte(text), castagnoli))
}

func (i identity) encode() []byte {
	i.Checksum = i.checksum()
	text, _ := json.MarshalIndent(i, "", "  ") // Can't fail for strings and numbers.
	return append(text, '\n')
}

func decodeIdentity(text []byte) (i identity, folderNumber uint64, err error) {
	if err := json.Unmarshal(text, &i); err != nil {
		return identity{}, 0, errors.Newf("is no identity file: %v", err)
	}
	if i.Format > identityFormatVersion {
		return identity{}, 0, unsupportedVersionError{version: byte(i.Format)}
	}
	if !bytes.Equal(i.encode(), text) {
		return identity{}, 0, errors.New("the checksum or the form is not what was written")
	}
	folderNumber, err = strconv.ParseUint(i.Number, 16, 64)
	return i, folderNumber, err
}
