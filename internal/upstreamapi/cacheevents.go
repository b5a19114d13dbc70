package upstreamapi

import "time"

// CacheEventKind is the kind of change to a prefix.
type CacheEventKind string

// The kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	// CacheCleared evicts all prefixes of all models.
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvents is a batch of changes to an engine's prefix cache. Batches may
// arrive late, out of order and with gaps. After a gap, the estimate of the
// cache is unreliable; it affects routing only, never the content of a
// response.
type CacheEvents struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// First is the sequence number of the first event; each later event has the
	// next number. The first event of an incarnation has number 1.
	First uint64 `json:"first"`
	// Age is the age of the first event when the batch was sent, in
	// nanoseconds.
	Age    time.Duration `json:"age,omitempty"`
	Events []CacheEvent  `json:"events"`
}

// Next returns the sequence number of the first event after the batch.
func (e CacheEvents) Next() uint64 {
	return e.First + uint64(len(e.Events))
}

// CacheEvent is one change in a prefix cache.
type CacheEvent struct {
	Kind  CacheEventKind `json:"kind"`
	Model string         `json:"model,omitempty"`
	// Prefix is one of the names in PrefixHeader.
	Prefix string `json:"prefix,omitempty"`
	// Tokens is the length of a stored prefix.
	Tokens int `json:"tokens,omitempty"`
}
