package quarantine

import "time"

// IsQuarantined reports whether a request is in quarantine and must not be sent.
func (w *Watch) IsQuarantined(now time.Time, digest Digest, parts ...Digest) bool {
	ruling := w.Rule(now, digest, parts...)
	return ruling.Decision == DecisionRefuse && !ruling.Probation
}
