package upstreamapi

import "time"

// Load is an engine's or a service's own report of its load, which lags.
type Load struct {
	// Clock is the upstream's own time when it sent the report. It need not agree
	// with any other clock: Order.NotAfter is read on it as well.
	Clock time.Time `json:"clock,omitzero"`
	// Age is how old the figures were when the announcement was sent, in
	// nanoseconds.
	Age time.Duration `json:"age,omitempty"`
	// Running is the number of requests in the running batch.
	Running int `json:"running"`
	// Waiting is the number of requests in the upstream's own queue.
	Waiting int `json:"waiting"`
	// MaxRunning is the most requests that run at once, 0 if not known.
	MaxRunning int `json:"max-running,omitempty"`
	// WaitingPromptTokens is the number of prompt tokens yet to be prefilled.
	WaitingPromptTokens int `json:"waiting-prompt-tokens,omitempty"`
	// PrefillTokensPerSecond is the measured prefill speed, 0 if not known.
	PrefillTokensPerSecond float64 `json:"prefill-tokens-per-second,omitempty"`
	// TokenInterval is the measured time between tokens of one stream, in
	// nanoseconds, 0 if not known.
	TokenInterval time.Duration `json:"token-interval,omitempty"`
	// KVUsedTokens and KVTotalTokens say how full the KV cache is.
	KVUsedTokens  int64 `json:"kv-used-tokens,omitempty"`
	KVTotalTokens int64 `json:"kv-total-tokens,omitempty"`
}

// LoadReport is a load report between two announcements.
type LoadReport struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Sequence is drawn from the same count as Announcement.Sequence, so that the
	// later of a report and an announcement is known.
	Sequence uint64 `json:"sequence"`
	Load     Load   `json:"load"`
}
