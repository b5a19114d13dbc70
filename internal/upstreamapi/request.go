package upstreamapi

// RequestState is the state of a request at an upstream.
type RequestState string

// The states of a request.
const (
	// RequestNeverSeen has not arrived. It may still arrive, so this state does
	// not prove that the request will not run; a cancel does.
	RequestNeverSeen RequestState = "never-seen"
	// RequestBarred was cancelled before it arrived. If it arrives, it is
	// rejected.
	RequestBarred RequestState = "barred"
	// RequestRefused arrived and was rejected; no part of it was run.
	RequestRefused RequestState = "refused"
	// RequestWaiting is in the upstream's own queue; no part of it was run.
	RequestWaiting   RequestState = "waiting"
	RequestRunning   RequestState = "running"
	RequestFinished  RequestState = "finished"
	RequestCancelled RequestState = "cancelled"
)

// NotRun reports whether no part of the request was or will be run.
func (s RequestState) NotRun() bool {
	return s == RequestBarred || s == RequestRefused
}

// RequestStatus is the response to a status query and to a cancel.
type RequestStatus struct {
	ID    string       `json:"id"`
	State RequestState `json:"state"`
	// Events is the number of stream events produced so far, which is also the
	// id of the last one.
	Events int `json:"events,omitempty"`
}

// ContinueFrom is the field "lovagelift-continue" of a completion request. It
// makes an engine continue an answer that another engine began.
type ContinueFrom struct {
	// Text is the part of the answer that the other engine produced.
	Text string `json:"text"`
	// Events is the number of stream events that carried Text. The ids of the
	// continued stream start after it.
	Events int `json:"events"`
}
