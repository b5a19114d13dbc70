package shutdown

import (
	"context"
	"time"
)

// Run is a request under way. Its context ends with the cause ErrStopping when the request may no longer run.
type Run struct {
	ctx context.Context
	// stop ends ctx, and cancel releases its timer.
	stop   context.CancelCauseFunc
	cancel context.CancelFunc
	// begunEnded ends when responses that have begun are ended.
	begunEnded context.Context
	// release detaches ctx from the end that holds for it.
	release func() bool
}

// Start returns the Run of a request, whose context ends with ctx and after timeout as well. The caller must call End.
func (p *Plan[K]) Start(ctx context.Context, timeout time.Duration) *Run {
	stoppable, stop := context.WithCancelCause(ctx)
	bounded, cancel := context.WithTimeout(stoppable, timeout)
	run := &Run{ctx: bounded, stop: stop, cancel: cancel, begunEnded: p.begunEnded}
	run.release = context.AfterFunc(p.answersEnded, run.endStopping)
	return run
}

// Context returns the context of the request.
func (r *Run) Context() context.Context {
	return r.ctx
}

// BeginResponse says that the head of the response is about to be sent. From then on the request may run until
// responses that have begun are ended, since its caller could get no other answer. If the request has been ended
// before, BeginResponse returns false, and the head must not be sent.
func (r *Run) BeginResponse() bool {
	if !r.release() {
		<-r.ctx.Done()
		return false
	}
	r.release = context.AfterFunc(r.begunEnded, r.endStopping)
	return true
}

// End releases the resources of the Run.
func (r *Run) End() {
	r.release()
	r.cancel()
	r.stop(nil)
}

func (r *Run) endStopping() {
	r.stop(ErrStopping)
}
