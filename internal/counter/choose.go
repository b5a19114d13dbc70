package counter

import (
	"time"
)

// wish is what a request asks of an upstream.
type wish struct {
	service string
	model   string
	adapter string
	tokens  int
	// tried are the names of upstreams that have failed this request.
	tried []string
	// entries is how many entry instances send to the same upstreams.
	entries int
}

// lack says why there is no upstream for a wish.
type lack uint8

const (
	// lackNone means that there is one.
	lackNone lack = iota
	// lackService means that nobody of the service is there.
	lackService
	// lackModel means that nobody who is there holds the model.
	lackModel
	// lackAdapter means that the model is held, but not with the adapter.
	lackAdapter
	// lackUntried means that all that could run it have failed it before.
	lackUntried
)

// String returns the word for the log.
func (l lack) String() string {
	return [...]string{"none", "service", "model", "adapter", "untried"}[l]
}

const (
	// tokensPerRequest is the prompt that costs an engine as much as one running
	// request does: 500 tokens are read in about 20 ms, and one more request in
	// the batch adds about as much to another's first token.
	tokensPerRequest = 500
	// remoteCost is what an upstream in another failure domain costs, in requests:
	// the way there takes a few ms, and bytes between domains are paid for.
	remoteCost = 0.5
)

// choose returns the upstream with the least load, and says what is lacking if
// there is none. drawn in [0, 1) chooses among equals.
//
// All entry instances see the same reports and send at the same rate: what one
// has sent since a report stands for all. Else every one of them would fill the
// engine that was emptiest in the report, until the next.
func (f *fleet) choose(now time.Time, w wish, drawn float64) (*upstream, lack) {
	var best *upstream
	bestCost := 0.0
	missing := lackService
	equals := 1.0
	for _, u := range f.services[w.service] {
		if !f.alive(now, u) {
			continue
		}
		if reason := u.misfit(w); reason != lackNone {
			missing = max(missing, reason)
			continue
		}
		cost := u.cost(now, w.entries)
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, equals = u, cost, 1
		case cost == bestCost:
			equals++
			if drawn*equals < 1 {
				best = u
			}
		}
	}
	if best == nil {
		return nil, missing
	}
	return best, lackNone
}

// misfit returns what u lacks for w.
func (u *upstream) misfit(w wish) lack {
	switch {
	case !u.holds(w.model, ""):
		return lackModel
	case !u.holds(w.model, w.adapter):
		return lackAdapter
	}
	for _, name := range w.tried {
		if name == u.Announcement.Name {
			return lackUntried
		}
	}
	return lackNone
}

// avoidedCost is above that of any upstream that is not avoided.
const avoidedCost = 1e6

// cost returns the load of u, in requests for each of its slots.
func (u *upstream) cost(now time.Time, entries int) float64 {
	others := float64(max(entries, 1))
	load := max(float64(u.running)+others*float64(u.sentSince), float64(u.open))
	load += others * float64(u.unread) / tokensPerRequest
	if u.remote {
		load += remoteCost
	}
	cost := load / float64(max(u.slots, 1))
	if now.Before(u.avoidUntil) {
		cost += avoidedCost
	}
	return cost
}

// sent notes that a request goes to u.
func (u *upstream) sent(tokens int) {
	u.open++
	u.sentSince++
	u.unread += tokens
}

// begun notes that an upstream's answer has begun, or never will.
func (u *upstream) begun(tokens int) {
	u.unread -= tokens
}

// ended notes that a request at u is over.
func (u *upstream) ended() {
	u.open--
	u.sentSince = max(u.sentSince-1, 0)
}

const (
	// firstAvoidance is how long an upstream gets no work after a failure to
	// connect or an answer that broke off. It doubles with each further one up to
	// longestAvoidance, after which one request tries it again.
	firstAvoidance   = 250 * time.Millisecond
	longestAvoidance = 4 * time.Second
)

// failed notes that u did not answer as it should.
func (u *upstream) failed(now time.Time) {
	wait := firstAvoidance << min(u.failures, 4)
	u.failures++
	u.avoidUntil = now.Add(min(wait, longestAvoidance))
}

// worked notes that u answered as it should.
func (u *upstream) worked() {
	u.failures = 0
}
