package dispatch

import "time"

// Goal is the latency objective of a service, for 95 % of its requests.
type Goal struct {
	// FirstToken is the time to the first token, or to the response of a plain service.
	// 0 means no goal.
	FirstToken time.Duration
	// TokenInterval is the time between tokens. 0 means no goal.
	TokenInterval time.Duration
}

// Request holds the properties of a request that the choice of an upstream depends on.
type Request struct {
	Target Target
	Goal   Goal
	// Waited is the time from the arrival of the request to the last choice of an upstream
	// for it.
	Waited time.Duration
	// Priority is the priority of the service, where 0 is the highest.
	Priority     uint8
	PromptTokens int
	// Blocks are the hashes of the prompt's blocks from BlockHashes. It may be empty.
	Blocks []uint64
	// Tried lists the names of the upstreams that have already failed this request.
	Tried []string
}

func (r *Request) tried(name string) bool {
	for _, failed := range r.Tried {
		if failed == name {
			return true
		}
	}
	return false
}
