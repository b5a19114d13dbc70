package standin

import (
	"context"
	"sync"
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// run is one completion. Its tokens are made whether or not a connection carries
// them away, so that a stream can be resumed on another connection. It is safe
// for concurrent use.
type run struct {
	answer answer
	use    use
	// prefixes are those of the request's prompt.
	prefixes []string
	// cached is the number of prompt tokens found in the prefix cache, set before
	// the state becomes running.
	cached int
	claim  *claim
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	state upstreamapi.RequestState
	// made is the number of tokens that the answer has so far, those that another
	// engine made included.
	made int
	// viewer numbers the connections. Only the newest gets events.
	viewer int
	// unviewedSince is when the newest connection was lost, or zero.
	unviewedSince time.Time
	// changed is closed and replaced when any of the above changes.
	changed chan struct{}
}

// progress is what a connection has to know of a run.
type progress struct {
	state   upstreamapi.RequestState
	made    int
	viewer  int
	changed <-chan struct{}
}

func newRun(a answer, u use, prefixes []string, c *claim) *run {
	ctx, cancel := context.WithCancel(context.Background())
	return &run{
		answer:   a,
		use:      u,
		prefixes: prefixes,
		claim:    c,
		ctx:      ctx,
		cancel:   cancel,
		state:    upstreamapi.RequestWaiting,
		made:     a.first,
		changed:  make(chan struct{}),
	}
}

// Progress returns the present progress.
func (r *run) Progress() progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return progress{state: r.state, made: r.made, viewer: r.viewer, changed: r.changed}
}

// Status returns the present status.
func (r *run) Status() upstreamapi.RequestStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := r.made
	if r.state == upstreamapi.RequestFinished {
		events++
	}
	return upstreamapi.RequestStatus{ID: r.answer.id, State: r.state, Events: events}
}

// Enter sets the state, unless the run has ended.
func (r *run) Enter(state upstreamapi.RequestState) {
	r.update(func() {
		if r.state == upstreamapi.RequestWaiting || r.state == upstreamapi.RequestRunning {
			r.state = state
		}
	})
}

// Made counts one more token.
func (r *run) Made() {
	r.update(func() { r.made++ })
}

// View makes the caller the newest connection and returns its number.
func (r *run) View() int {
	var viewer int
	r.update(func() {
		r.viewer++
		r.unviewedSince = time.Time{}
		viewer = r.viewer
	})
	return viewer
}

// Unview says that a connection was lost at now. It returns whether that was the
// newest.
func (r *run) Unview(viewer int, now time.Time) bool {
	newest := false
	r.update(func() {
		newest = viewer == r.viewer
		if newest {
			r.unviewedSince = now
		}
	})
	return newest
}

// Abandoned tells whether no connection has carried the run for longer than
// window at now.
func (r *run) Abandoned(now time.Time, window time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.unviewedSince.IsZero() && now.Sub(r.unviewedSince) > window
}

func (r *run) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	close(r.changed)
	r.changed = make(chan struct{})
}
