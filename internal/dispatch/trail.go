package dispatch

import "time"

const maxTrail = 256

// step is a change that this instance made to an upstream's load.
type step struct {
	at time.Time
	// requests and promptTokens are what the step added.
	requests     int32
	promptTokens int32
}

// trail remembers what this instance has done at one upstream since the figures
// of the upstream's last report were taken. Added to the report, it is the load
// as far as this instance can know it.
//
// A trail is bounded: when full, its two oldest steps become one at the later
// time, which the correction can only keep for too long.
type trail struct {
	// steps is a ring in the order of time.
	steps []step
	first int
	size  int
	// requests and promptTokens are the sums over the steps.
	requests     int
	promptTokens int
}

func (t *trail) at(i int) *step {
	return &t.steps[(t.first+i)%len(t.steps)]
}

func (t *trail) add(s step) {
	if t.size == len(t.steps) {
		t.makeRoom()
	}
	t.size++
	*t.at(t.size - 1) = s
	t.requests += int(s.requests)
	t.promptTokens += int(s.promptTokens)
}

func (t *trail) makeRoom() {
	if len(t.steps) < maxTrail {
		steps := make([]step, max(8, 2*len(t.steps)))
		for i := range t.size {
			steps[i] = *t.at(i)
		}
		t.steps, t.first = steps, 0
		return
	}
	oldest, second := t.at(0), t.at(1)
	second.requests += oldest.requests
	second.promptTokens += oldest.promptTokens
	t.first = (t.first + 1) % len(t.steps)
	t.size--
}

// forget drops the steps up to loadAt: a report of that time includes them.
func (t *trail) forget(loadAt time.Time) {
	for t.size > 0 && !t.at(0).at.After(loadAt) {
		s := t.at(0)
		t.requests -= int(s.requests)
		t.promptTokens -= int(s.promptTokens)
		t.first = (t.first + 1) % len(t.steps)
		t.size--
	}
}
