package upstreamapi

import "time"

// Load is the load that an engine or a service reports about itself. It lags
// behind the actual load.
type Load struct {
	// Clock is the upstream's own time when it sent the report. It need not
	// agree with any other clock; Order.NotAfter refers to the same clock.
	Clock time.Time `json:"clock,omitzero"`
	// Age is the age of the figures when the announcement was sent, in
	// nanoseconds.
	Age time.Duration `json:"age,omitempty"`
	// Running is the number of requests in the running batch.
	Running int `json:"running"`
	// Waiting is the number of requests in the upstream's own queue.
	Waiting int `json:"waiting"`
	// MaxRunning is the maximum number of concurrent requests, 0 if unknown.
	MaxRunning int `json:"max-running,omitempty"`
	// WaitingPromptTokens is the number of prompt tokens not yet prefilled.
	WaitingPromptTokens int `json:"waiting-prompt-tokens,omitempty"`
	// PrefillTokensPerSecond is the measured prefill speed, 0 if unknown.
	PrefillTokensPerSecond float64 `json:"prefill-tokens-per-second,omitempty"`
	// TokenInterval is the measured time between tokens of one stream, in
	// nanoseconds, 0 if unknown.
	TokenInterval time.Duration `json:"token-interval,omitempty"`
	// KVUsedTokens and KVTotalTokens are the use and the capacity of the KV
	// cache.
	KVUsedTokens  int64 `json:"kv-used-tokens,omitempty"`
	KVTotalTokens int64 `json:"kv-total-tokens,omitempty"`
}

// LoadReport is a load report sent between two announcements.
type LoadReport struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Sequence shares its counter with Announcement.Sequence, which orders load
	// reports and announcements.
	Sequence uint64 `json:"sequence"`
	Load     Load   `json:"load"`
}
