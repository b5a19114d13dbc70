package shuttle

import (
	"math"
	"sync/atomic"
	"time"
)

// watchdog calls onTimeout once if an operation takes longer than timeout. It does not reset its
// timer for each token of a stream, which would cost more than the token. Instead, the timer
// function checks the current operation and resets the timer to the time remaining.
type watchdog struct {
	timeout   time.Duration
	onTimeout func()
	created   time.Time
	// operationStart is the start of the current operation in nanoseconds after created, or 0 if
	// there is none.
	operationStart atomic.Int64
	stopped        atomic.Bool
	timer          *time.Timer
}

func newWatchdog(timeout time.Duration, onTimeout func()) *watchdog {
	w := &watchdog{timeout: timeout, onTimeout: onTimeout, created: time.Now()}
	// check needs the timer, and may run before AfterFunc has returned.
	w.timer = time.AfterFunc(math.MaxInt64, w.check)
	w.timer.Reset(timeout)
	return w
}

// begin marks the start of an operation.
func (w *watchdog) begin() {
	w.operationStart.Store(int64(max(time.Since(w.created), 1)))
}

// end marks the end of the current operation.
func (w *watchdog) end() {
	w.operationStart.Store(0)
}

// stop stops the watchdog. A concurrent check may reset the timer once more; the next check then
// returns at once.
func (w *watchdog) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}

func (w *watchdog) check() {
	if w.stopped.Load() {
		return
	}
	remaining := w.timeout
	if start := w.operationStart.Load(); start != 0 {
		remaining -= time.Since(w.created) - time.Duration(start)
	}
	if remaining <= 0 {
		w.onTimeout()
		return
	}
	w.timer.Reset(remaining)
}
