package shuttle

import (
	"bytes"
	"io"
)

// Beginning is the beginning of a body that has been read ahead. Its Reader returns the whole body. Use
// ReadBeginning.
type Beginning struct {
	io.Reader
	// Bytes is the number of bytes that were read.
	Bytes int
	// Ended is true if the body has ended regularly, and Err is the error of the read that failed.
	Ended bool
	Err   error
}

// ReadBeginning reads from body until isEnough reports true of the number of bytes, limit bytes are read or the body
// ends. rest is what the rest of the body is read from.
func ReadBeginning(body, rest io.Reader, limit int, isEnough func(bytes int) bool) Beginning {
	var b Beginning
	buffer := make([]byte, limit)
	for b.Bytes < limit && !isEnough(b.Bytes) && !b.Ended && b.Err == nil {
		n, err := body.Read(buffer[b.Bytes:])
		b.Bytes += n
		switch {
		case err == io.EOF:
			b.Ended, rest = true, failedReader{err: io.EOF}
		case err != nil:
			b.Err, rest = err, failedReader{err: err}
		}
	}
	b.Reader = io.MultiReader(bytes.NewReader(buffer[:b.Bytes]), rest)
	return b
}

// failedReader is a reader whose reads fail with err.
type failedReader struct {
	err error
}

// Read returns the error.
func (r failedReader) Read([]byte) (int, error) {
	return 0, r.err
}
