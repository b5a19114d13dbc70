package quarantine

// The messages of log lines by which the way of a request into quarantine is told. All have
// its digest, whole or shortened, in the field FieldDigest.
const (
	// LineEnded is of one request that an upstream had as it ended.
	LineEnded = "the upstream ended while it had the request"
	// LineEntered and LineLeft are of a request that comes into quarantine, and out of it.
	LineEntered = "request in quarantine: upstreams end that run it"
	LineLeft    = "request out of quarantine"
	// LineLifted is of an operator's word that a request may be sent again.
	LineLifted = "quarantine lifted"

	FieldDigest = "digest"
)
