package courier

import (
	"bytes"
	"encoding/gob"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/roster"
)

// PackChanges returns the compressed encoding of changes. The whole roster of 3,000 upstreams takes
// 0.5 MB unpacked: over a link of 10 Mbit/s it would not arrive before the call times out.
func PackChanges(changes roster.Changes) ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(changes); err != nil {
		return nil, errors.Wrap(err, "courier: encoding the roster")
	}
	return registry.Compress(buffer.Bytes())
}

// UnpackChanges decodes the output of PackChanges. If packed is not a valid encoding, it returns an
// error.
func UnpackChanges(packed []byte) (roster.Changes, error) {
	var changes roster.Changes
	encoded, err := registry.Decompress(packed)
	if err != nil {
		return changes, err
	}
	err = gob.NewDecoder(bytes.NewReader(encoded)).Decode(&changes)
	return changes, errors.Wrap(err, "courier: decoding the roster")
}
