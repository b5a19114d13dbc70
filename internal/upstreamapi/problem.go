package upstreamapi

// Problem is the body of a response that rejects a request of this API.
type Problem struct {
	// Findings lists every error with its location.
	Findings []string `json:"findings"`
}
