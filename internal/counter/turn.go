package counter

import (
	"math/bits"
	"time"
)

// rivalTime is how long an instance waits at most for each other that sends to the
// same engine. What it tells takes about 2 ms to arrive.
const rivalTime = 8 * time.Millisecond

// turn spreads the instances that wait for an engine. All of them see at the same
// moment that it has room, and seven prompts of 1,400 tokens at once made every
// stream of the engine pause for half a second: so each waits for a random time
// first, within which it hears if another was faster.
type turn struct {
	// held says that somebody found no room of late, and drawn that backoff was
	// drawn since the last prompt went to the engine.
	held    bool
	drawn   bool
	backoff time.Duration
}

// calmAfter is how long an engine has room without getting anything until nobody
// waits for it any more.
const calmAfter = 100 * time.Millisecond

// next has the backoff drawn anew: the engine has got a prompt.
func (t *turn) next() {
	t.drawn = false
}

// open reports whether this instance may send at now to an engine that has room
// since, which is in the future while it has none.
func (t *turn) open(now, since time.Time, drawn float64, rivals int) bool {
	idle := now.Sub(since)
	if idle < 0 {
		t.held = true
	}
	if idle > calmAfter {
		t.held = false
	}
	if !t.held {
		return true
	}
	if !t.drawn {
		t.drawn, t.backoff = true, time.Duration(drawn*float64(rivals)*float64(rivalTime))
	}
	return idle >= t.backoff
}

// rivalWindow is for how long another instance that sent to an engine counts as
// one that will again.
const rivalWindow = 250 * time.Millisecond

// rivals counts the other instances that send to an engine, by a hash of their
// names: in one window and the one before.
type rivals struct {
	window  int64
	current uint64
	before  uint64
}

func (r *rivals) advance(now time.Time) {
	window := now.UnixNano() / int64(rivalWindow)
	switch {
	case window <= r.window:
		return
	case window == r.window+1:
		r.before = r.current
	default:
		r.before = 0
	}
	r.window, r.current = window, 0
}

// heard notes one that has sent.
func (r *rivals) heard(now time.Time, hash uint32) {
	r.advance(now)
	r.current |= 1 << (hash % 64)
}

// count returns how many there are.
func (r *rivals) count(now time.Time) int {
	r.advance(now)
	return bits.OnesCount64(r.current | r.before)
}
