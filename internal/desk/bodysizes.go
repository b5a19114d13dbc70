package desk

import (
	"io"
	"sync"

	"github.com/lovagelift/lovagelift/internal/bodysize"
	"github.com/lovagelift/lovagelift/internal/dispatch"
)

// minExcessBytes is the size up to which no response counts as one without an end.
const minExcessBytes = 1 << 20

// bodySizes recognizes responses without an end whose callers leave. It is safe for concurrent use. Use
// newBodySizes.
type bodySizes struct {
	mu      sync.Mutex
	longest bodysize.Longest
}

func newBodySizes() *bodySizes {
	return &bodySizes{longest: bodysize.Longest{}}
}

// judge returns the failure to record for the upstream of a response of which bytes have arrived. A
// response without an end is the upstream's failure also if its caller left.
func (b *bodySizes) judge(service string, bytes int64, failure dispatch.Failure) dispatch.Failure {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case failure == noFailure:
		b.longest.Observe(service, bytes)
	case failure == dispatch.FailureCanceled && b.longest.IsExcessive(service, bytes, minExcessBytes):
		return dispatch.FailureError
	}
	return failure
}

// countedBody is a response body that counts the bytes that are read.
type countedBody struct {
	io.ReadCloser
	bytes int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	return n, err
}
