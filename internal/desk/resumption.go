package desk

import (
	"fmt"
	"net/http"
	"time"

	"github.com/lovagelift/lovagelift/internal/dispatch"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/shuttle"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// A stream goes on only at the software version that began it. Responses state that version, and a
// caller that resumes a stream repeats it. So no instance has to remember a stream.

// bindToVersion limits the upstreams of a request that resumes a stream to the software version that
// began it. If the caller does not state it, bindToVersion takes the only one that there is. It
// refuses the request if there are several.
func (s *Server) bindToVersion(task *task) *RefusalError {
	if version := task.request.Header.Get(upstreamapi.SoftwareVersionHeader); version != "" {
		task.software = resumption.BoundTo(version)
		return nil
	}
	if task.request.Header.Get(upstreamapi.LastEventIDHeader) == "" {
		return nil
	}
	version, retryAfter, ok := s.router.onlyVersion(*task)
	if !ok {
		return &RefusalError{
			Status: http.StatusConflict,
			Code:   CodeVersionUnknown,
			Message: "the upstreams have several software versions; repeat the " + upstreamapi.SoftwareVersionHeader +
				" of the response that began the stream, or begin a new one",
			Outcome:    outcome.NotRun,
			RetryAfter: retryAfter,
		}
	}
	if version == "" {
		return nil
	}
	task.software = resumption.BoundTo(version)
	task.request.Header.Set(upstreamapi.SoftwareVersionHeader, version)
	return nil
}

// versionUnavailableRefusal refuses a stream of a software version that no upstream has.
func versionUnavailableRefusal(software resumption.Constraint) *RefusalError {
	return &RefusalError{
		Status:     http.StatusServiceUnavailable,
		Code:       CodeVersionUnavailable,
		Message:    fmt.Sprintf("no upstream has the software version %q, which began the stream", software.SoftwareVersion),
		Outcome:    outcome.NotRun,
		RetryAfter: defaultRetryAfter,
	}
}

// checkSoftwareVersion completes a response with the software version of its upstream. It returns an
// error if the upstream states another version than the request is limited to: a process of that
// version has taken over its name.
func checkSoftwareVersion(task task, slot *slot, response *shuttle.Response) error {
	stated := response.Header.Get(upstreamapi.SoftwareVersionHeader)
	if stated == "" {
		stated = slot.decision.Chosen.SoftwareVersion
	}
	if !task.software.Allows(stated) {
		return &RefusalError{
			Status:  http.StatusBadGateway,
			Code:    CodeVersionUnavailable,
			Message: fmt.Sprintf("the stream began at software version %q, and %q answered", task.software.SoftwareVersion, stated),
			Outcome: outcome.Ran,
		}
	}
	if stated != "" {
		response.Header.Set(upstreamapi.SoftwareVersionHeader, stated)
	}
	return nil
}

// observeVersion records the software version of an upstream. The caller holds r.mu.
func (r *router) observeVersion(upstream roster.Upstream) {
	announcement := upstream.Announcement
	for _, service := range announcement.Services {
		r.versions.Observe(dispatch.Target{Service: service}.String(), announcement.SoftwareVersion, upstream.LastContact)
	}
	for _, resident := range announcement.Resident {
		r.versions.Observe(dispatch.Target{Model: resident.Model}.String(), announcement.SoftwareVersion, upstream.LastContact)
		for _, adapter := range resident.Adapters {
			r.versions.Observe(dispatch.Target{Adapter: adapter}.String(), announcement.SoftwareVersion, upstream.LastContact)
		}
	}
}

// onlyVersion returns the software version of all upstreams at which the stream that a task resumes
// can have begun, empty if they announce none. If there are several, or some upstreams may be unknown
// here, as they may have been replaced before this instance started, it returns false, and the time
// after which the caller may retry, 0 if that would not help.
func (r *router) onlyVersion(task task) (version string, retryAfter time.Duration, ok bool) {
	target := dispatch.Target{Service: task.requirement.service}
	if target.Service == "" {
		target = r.targetOf(task.requirement.model)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if untilKnown := r.upstreamLease - now.Sub(r.startedAt); untilKnown > 0 {
		return "", untilKnown, false
	}
	window := task.deadline.Sub(task.arrivedAt) + r.upstreamLease
	version, ok = r.versions.Only(now.Add(-window), target.String())
	if untilKnown := window - now.Sub(r.startedAt); ok && version != "" && untilKnown > 0 {
		return "", untilKnown, false
	}
	if !ok && !r.dispatcher.HasTarget(target) {
		// The refusal of an unknown target tells more.
		return "", 0, true
	}
	return version, 0, ok
}
