package dispatch

import "time"

// Goal is what a service promises its callers, for 95 in 100 requests.
type Goal struct {
	// FirstToken is the time to the first token, or to the answer of a plain
	// service. 0 stands for no goal.
	FirstToken time.Duration
	// TokenInterval is the time between tokens. 0 stands for no goal.
	TokenInterval time.Duration
}

// Request is what a choice needs to know of a request.
type Request struct {
	Target Target
	Goal   Goal
	// Waited is how much of Goal.FirstToken is spent already.
	Waited time.Duration
	// Priority is that of the service, 0 being the highest.
	Priority uint8
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Blocks are the chained hashes of the prompt's blocks, from BlockHashes. They
	// may be empty.
	Blocks []uint64
	// Tried names the upstreams that have failed this request before.
	Tried []string
}

func (r *Request) tried(name string) bool {
	for _, t := range r.Tried {
		if t == name {
			return true
		}
	}
	return false
}
