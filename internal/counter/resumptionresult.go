package counter

import "github.com/lovagelift/lovagelift/internal/permit"

// resumptionResult is what became of a request that resumes a stream. It is also the metric tag. The zero value
// stands for resumptionOther.
type resumptionResult string

const (
	// resumptionWentOn means that events of the stream, or its end, were passed to the caller.
	resumptionWentOn resumptionResult = "went-on"
	// resumptionUnknown means that the software version of the stream is unknown.
	resumptionUnknown resumptionResult = "refused-unknown"
	// resumptionNoHolder means that no engine of the version holds the model, nor will in time.
	resumptionNoHolder resumptionResult = "refused-no-holder"
	// resumptionNoVersion means that there is no upstream of the version.
	resumptionNoVersion resumptionResult = "refused-no-version"
	// resumptionNoTime means that no upstream of the version had room in time, or would have had.
	resumptionNoTime resumptionResult = "refused-no-time"
	// resumptionOther means that the upstream failed or refused, or that the caller left before.
	resumptionOther resumptionResult = "other"
)

// resultOfRejection returns the result of a request that is rejected.
func resultOfRejection(reason permit.Reason) resumptionResult {
	switch reason {
	case permit.ModelUnavailable:
		return resumptionNoHolder
	case permit.VersionUnavailable:
		return resumptionNoVersion
	default:
		return resumptionNoTime
	}
}

// resultAfterWait returns the result of a request that has waited in vain.
func resultAfterWait(missing missingResource) resumptionResult {
	if missing == missingVersion || missing == missingService {
		return resumptionNoVersion
	}
	return resumptionNoTime
}

// countResumptionResult counts what became of a request if it resumes a stream.
func (t *transaction) countResumptionResult() {
	if !t.resumesStream() {
		return
	}
	result := t.resumptionResult
	if result == "" {
		result = resumptionOther
	}
	p := t.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	taggedCounter(p.metrics.scope, p.metrics.resumptionResults, "resumed_stream_results", "result", string(result)).Inc(1)
}
