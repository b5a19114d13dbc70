package upstreamapi

// RequestState says what became of a request.
type RequestState string

// The states of a request.
const (
	// RequestNeverSeen has not arrived. It may arrive yet, so it is no proof that
	// the request will not run; a cancel gives that.
	RequestNeverSeen RequestState = "never-seen"
	// RequestBarred had not arrived when it was cancelled. If it arrives, it is
	// refused.
	RequestBarred RequestState = "barred"
	// RequestRefused arrived, and none of it was run.
	RequestRefused RequestState = "refused"
	// RequestWaiting is in the upstream's own queue, and none of it was run.
	RequestWaiting   RequestState = "waiting"
	RequestRunning   RequestState = "running"
	RequestFinished  RequestState = "finished"
	RequestCancelled RequestState = "cancelled"
)

// NotRun tells whether none of the request was run, nor ever will be.
func (s RequestState) NotRun() bool {
	return s == RequestBarred || s == RequestRefused
}

// RequestStatus answers a question after a request, and a cancel.
type RequestStatus struct {
	ID    string       `json:"id"`
	State RequestState `json:"state"`
	// Events is the number of stream events that were made so far. The last of
	// them has this id.
	Events int `json:"events,omitempty"`
}

// ContinueFrom is the field "lovagelift-continue" of a completion request. It
// makes an engine go on with an answer that another began.
type ContinueFrom struct {
	// Text is what the other has answered so far.
	Text string `json:"text"`
	// Events is the number of stream events that carried Text. The first event
	// of the continued stream has the id after it.
	Events int `json:"events"`
}
