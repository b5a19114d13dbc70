package registry

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// compressedMarker is the first byte of compressed data. The canonical encoding of
	// declarations, which is JSON, never begins with this byte.
	compressedMarker = 0x01
	// minCompressBytes is the minimum size of data that Compress compresses.
	minCompressBytes = 4 << 10
	// maxDecompressedBytes limits the size of decompressed data. The declarations of
	// 1,700 models with five adapters each take 2 MB.
	maxDecompressedBytes = 32 << 20
)

// Compress returns data compressed, or unchanged if it is smaller than
// minCompressBytes.
//
// Declarations repeat the same keys many times. With 1,700 models and 1,000
// changes a day, uncompressed declarations alone would use up a node's network
// budget for control traffic; compressed ones take a fraction of it. Only the
// encodings of commands and views are compressed. Replicas store and compare the
// uncompressed bytes, so that two versions may compress differently.
func Compress(data []byte) ([]byte, error) {
	if len(data) < minCompressBytes {
		return data, nil
	}
	var compressed bytes.Buffer
	compressed.WriteByte(compressedMarker)
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "registry: pack")
	}
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "registry: pack")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "registry: pack")
	}
	return compressed.Bytes(), nil
}

// Decompress is the inverse of Compress. It returns an error if data is truncated
// or corrupt, or would decompress to more than maxDecompressedBytes.
func Decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMarker {
		return data, nil
	}
	reader := flate.NewReader(bytes.NewReader(data[1:]))
	decompressed, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "registry: unpack")
	}
	if len(decompressed) > maxDecompressedBytes {
		return nil, errors.Newf("registry: unpack: more than %d bytes", maxDecompressedBytes)
	}
	return decompressed, nil
}
