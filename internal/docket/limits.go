package docket

import "time"

// Limits are the limits of a Store.
type Limits struct {
	// Retention is the time that a record is kept after its last change. It must
	// exceed the longest time after which a caller may resend a request, because
	// a key without a record counts as a new request.
	Retention time.Duration `json:"retention"`
	// TimeoutGrace is added to the timeout of a claim. The claim counts as unknown after
	// both.
	TimeoutGrace time.Duration `json:"grace"`
	// MaxTimeout is the maximum timeout of a claim. Longer ones are shortened.
	MaxTimeout time.Duration `json:"max-timeout"`
	// MaxStep is the maximum time by which one Expire advances the store's clock.
	MaxStep time.Duration `json:"max-step"`
	// MaxRecords is the maximum number of records. When it is reached, new keys
	// are refused. Records are never removed before the end of their retention.
	MaxRecords int `json:"max-records"`
	// MaxResponseBytes is the maximum memory use of all kept responses. When it is
	// exceeded, the oldest responses are dropped, but their records are kept.
	MaxResponseBytes int64 `json:"max-response-bytes"`
	// MaxBodyBytes is the maximum size of the body of a kept response.
	MaxBodyBytes int `json:"max-body-bytes"`
}

// maxDuration is the maximum duration in Limits. It prevents overflow when
// durations are added.
const maxDuration = 20 * 365 * 24 * time.Hour

// Valid reports whether the limits for responses are not negative, all others are
// positive, and no duration exceeds 20 years. A Store ignores invalid limits in
// an Expire. With a retention of 0, all records would expire at once and every
// resent request would run again.
func (l Limits) Valid() bool {
	for _, d := range []time.Duration{l.Retention, l.TimeoutGrace, l.MaxTimeout, l.MaxStep} {
		if d <= 0 || d > maxDuration {
			return false
		}
	}
	return l.MaxRecords > 0 && l.MaxResponseBytes >= 0 && l.MaxBodyBytes >= 0
}

// DefaultLimits returns limits for the sizes of current deployments.
//
// Retention is four days, because a web page that is left open over a weekend
// with a holiday may resend its request after up to 88 hours (Friday 17:00 to
// Tuesday 09:00). The other limits keep the store of a voter below 64 MB. See
// docs/MEASURES.md for the bytes per record.
func DefaultLimits() Limits {
	return Limits{
		Retention:        96 * time.Hour,
		TimeoutGrace:     10 * time.Second,
		MaxTimeout:       15 * time.Minute,
		MaxStep:          5 * time.Second,
		MaxRecords:       100_000,
		MaxResponseBytes: 16 << 20,
		MaxBodyBytes:     16 << 10,
	}
}

// Estimated memory use of a response and of a header field, without their
// content.
const (
	responseOverheadBytes = 64
	headerOverheadBytes   = 32
)
