package quarantine

// Log messages on the quarantine of a request. Each has the digest of the request, whole
// or shortened, in the field FieldDigest.
const (
	// LogEnded is logged for each request that an upstream had when it ended.
	LogEnded = "the upstream ended while it had the request"
	// LogEntered and LogLeft are logged when a request enters or leaves quarantine.
	LogEntered = "request in quarantine: upstreams end that run it"
	LogLeft    = "request out of quarantine"
	// LogPartEntered is logged when parts of prompts enter quarantine.
	LogPartEntered = "part of prompts in quarantine: upstreams end that answer on it"
	// LogLifted is logged when an operator allows a request to be sent again.
	LogLifted = "quarantine lifted"

	FieldDigest = "digest"
	// FieldParts holds the shortened digests of parts of a prompt.
	FieldParts = "parts"
)
