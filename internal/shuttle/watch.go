package shuttle

import (
	"sync/atomic"
	"time"
)

// watch calls late once, if something that it watches over takes longer than
// limit. Its timer is not set anew for each token of a stream, which would cost
// more than the token: it looks, and goes on for what is left.
type watch struct {
	limit time.Duration
	late  func()
	begun time.Time
	// entered is how long after begun the thing under way began, in nanoseconds,
	// or 0 if none is.
	entered atomic.Int64
	stopped atomic.Bool
	timer   *time.Timer
}

func newWatch(limit time.Duration, late func()) *watch {
	w := &watch{limit: limit, late: late, begun: time.Now()}
	w.timer = time.AfterFunc(limit, w.look)
	return w
}

// enter says that something begins.
func (w *watch) enter() {
	w.entered.Store(int64(max(time.Since(w.begun), 1)))
}

// leave says that it has ended.
func (w *watch) leave() {
	w.entered.Store(0)
}

// stop ends the watch. A look that is under way sets the timer once more, and
// finds the watch stopped.
func (w *watch) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}

func (w *watch) look() {
	if w.stopped.Load() {
		return
	}
	left := w.limit
	if entered := w.entered.Load(); entered != 0 {
		left -= time.Since(w.begun) - time.Duration(entered)
	}
	if left <= 0 {
		w.late()
		return
	}
	w.timer.Reset(left)
}
