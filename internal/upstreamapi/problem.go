package upstreamapi

// Problem is the body of an answer that refuses a call of this interface.
type Problem struct {
	// Findings are all that is wrong, each with its place.
	Findings []string `json:"findings"`
}
