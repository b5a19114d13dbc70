package docket

import "time"

// Limits bound the docket.
type Limits struct {
	// Retention is how long a record is kept after its last change. It must
	// exceed the longest time after which a caller may send a request again:
	// once a record is gone, the same key is a new request.
	Retention time.Duration `json:"retention"`
	// Grace is added to the timeout of a claim before it counts as unknown.
	Grace time.Duration `json:"grace"`
	// MaxTimeout bounds the timeout of a claim.
	MaxTimeout time.Duration `json:"max-timeout"`
	// MaxStep bounds how far one Expire moves the docket's clock.
	MaxStep time.Duration `json:"max-step"`
	// MaxRecords bounds the records. When it is reached, new keys are refused;
	// no record is dropped before its time.
	MaxRecords int `json:"max-records"`
	// MaxResponseBytes bounds what all kept responses take in memory. When it
	// is reached, the oldest responses are dropped; their records stay.
	MaxResponseBytes int64 `json:"max-response-bytes"`
	// MaxBodyBytes bounds the body of a kept response.
	MaxBodyBytes int `json:"max-body-bytes"`
}

// maxTime bounds every duration, so that sums of them never overflow.
const maxTime = 20 * 365 * 24 * time.Hour

// Valid tells whether all limits but those of responses are above 0, and no time
// is above 20 years. A docket keeps its limits when an Expire brings invalid
// ones: without a retention all records would expire at once, and every resend
// would run again.
func (l Limits) Valid() bool {
	for _, d := range []time.Duration{l.Retention, l.Grace, l.MaxTimeout, l.MaxStep} {
		if d <= 0 || d > maxTime {
			return false
		}
	}
	return l.MaxRecords > 0 && l.MaxResponseBytes >= 0 && l.MaxBodyBytes >= 0
}

// DefaultLimits returns the limits for the users' sizes of today.
//
// Retention is four days: a clerk's page that is left open on the evening
// before a weekend with a holiday is sent again after 88 hours at most (Friday
// 17:00 to Tuesday 09:00). The other figures keep the docket of a voter below
// 64 MB; docs/MEASURES.md has the bytes for a record.
func DefaultLimits() Limits {
	return Limits{
		Retention:        96 * time.Hour,
		Grace:            10 * time.Second,
		MaxTimeout:       15 * time.Minute,
		MaxStep:          5 * time.Second,
		MaxRecords:       100_000,
		MaxResponseBytes: 16 << 20,
		MaxBodyBytes:     16 << 10,
	}
}

// The bytes that parts of the docket take beside what callers sent, as
// measured by BenchmarkMemory.
const (
	responseBytes = 64
	headerBytes   = 32
)
