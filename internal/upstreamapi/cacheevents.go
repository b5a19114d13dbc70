package upstreamapi

import "time"

// CacheEventKind says what happened to a prefix.
type CacheEventKind string

// The kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	// CacheCleared evicted everything, of all models.
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvents is a batch of what happened in an engine's prefix cache. Batches
// arrive late, out of order and with gaps. A gap makes the estimate of the cache
// doubtful; it never changes an answer.
type CacheEvents struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// First is the sequence number of the first event; each that follows has the
	// next number. The first event of an incarnation has number 1.
	First uint64 `json:"first"`
	// Age is how old the first event was when the batch was sent, in
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
	// Prefix is a name out of PrefixHeader.
	Prefix string `json:"prefix,omitempty"`
	// Tokens is the length of the prefix, if it was stored.
	Tokens int `json:"tokens,omitempty"`
}
