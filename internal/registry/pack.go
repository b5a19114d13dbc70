package registry

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// packedMark is the first byte of packed declarations. The canonical encoding
	// of declarations, which is JSON, never begins with it.
	packedMark = 0x01
	// packAbove is the size from which declarations are packed.
	packAbove = 4 << 10
	// maxUnpacked bounds what packed declarations may grow to. Those of 1,700
	// models with five adapters each take 2 MB.
	maxUnpacked = 32 << 20
)

// Pack returns declarations compressed, or as they are if they are small.
//
// Declarations name the same keys over and over. At 1,000 changes a day of 1,700
// models they alone would take what control may cost a node in network traffic;
// packed they take a fraction. Packing stands in the encoding of commands and
// views alone: what replicas hold and compare is the plain bytes, so that two
// programs may pack differently.
func Pack(data []byte) ([]byte, error) {
	if len(data) < packAbove {
		return data, nil
	}
	var packed bytes.Buffer
	packed.WriteByte(packedMark)
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "registry: pack")
	}
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "registry: pack")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "registry: pack")
	}
	return packed.Bytes(), nil
}

// Unpack returns the declarations that Pack was given. If data is cut off, damaged or
// would grow beyond all bounds, Unpack returns an error.
func Unpack(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != packedMark {
		return data, nil
	}
	reader := flate.NewReader(bytes.NewReader(data[1:]))
	unpacked, err := io.ReadAll(io.LimitReader(reader, maxUnpacked+1))
	if err != nil {
		return nil, errors.Wrap(err, "registry: unpack")
	}
	if len(unpacked) > maxUnpacked {
		return nil, errors.Newf("registry: unpack: more than %d bytes", maxUnpacked)
	}
	return unpacked, nil
}
