package counter

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// wish is what a request asks of an upstream.
type wish struct {
	service string
	model   string
	adapter string
	// pace bounds what an engine gets.
	pace pace
	// tried are the names of upstreams that have failed this request. They are tried
	// again only after the rest, and after a pause.
	tried []string
	// favoured says that an engine may get it that has no room for others.
	favoured bool
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
	// lackRoom means that those that could run it have enough to do for now.
	lackRoom
)

// String returns the word for the log.
func (l lack) String() string {
	return [...]string{"none", "service", "model", "adapter", "room"}[l]
}

// remoteCost is what an upstream in another failure domain costs, as a part of
// its pace: the way there takes a few ms, and bytes between domains are paid for.
const remoteCost = 0.1

// choose returns the upstream with the least load, and says what is lacking if
// there is none. drawn in [0, 1) chooses among equals.
func (f *fleet) choose(now time.Time, w wish, drawn float64) (*upstream, lack) {
	var best *upstream
	bestCost := 0.0
	missing := lackService
	equals := 1.0
	for _, u := range f.holders(w.service, w.model) {
		if !f.alive(now, u) {
			continue
		}
		if reason := u.misfit(now, w, drawn); reason != lackNone {
			missing = max(missing, reason)
			continue
		}
		cost := u.cost(now, w)
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
	switch {
	case best != nil:
		return best, lackNone
	case missing == lackService && w.model != "" && f.anyAlive(now, w.service):
		return nil, lackModel
	default:
		return nil, missing
	}
}

// misfit returns what u lacks for w.
func (u *upstream) misfit(now time.Time, w wish, drawn float64) lack {
	switch {
	case !u.holds(w.model, ""):
		return lackModel
	case !u.holds(w.model, w.adapter):
		return lackAdapter
	case slices.Contains(w.tried, u.name) && now.Before(u.avoidUntil), now.Before(u.limit.heldUntil):
		return lackRoom
	case w.model != "" && !u.hasRoom(now, w, drawn):
		return lackRoom
	default:
		return lackNone
	}
}

// hasRoom reports whether an engine may get a request now. drawn in [0, 1) is how
// long this instance lets others go first.
func (u *upstream) hasRoom(now time.Time, w wish, drawn float64) bool {
	if w.favoured {
		return u.load(now) < float64(u.slots+max(u.slots/favourQueue, 1))
	}
	return !u.full(now) && u.turn.open(now, u.unread.low(w.pace), drawn, u.rivals.count(now))
}

// full reports whether the places of an engine are taken.
func (u *upstream) full(now time.Time) bool {
	return u.slots > 0 && u.load(now) >= float64(u.slots)
}

// load returns about how many requests an engine has: those of this instance, and what
// the others told of theirs, less what has ended since.
func (u *upstream) load(now time.Time) float64 {
	return float64(u.open) + u.others.left(now, u.pace.run)
}

// avoidedCost is above that of any upstream that is not avoided, and triedCost
// above that of any that has not failed the request yet.
const (
	avoidedCost = 1e6
	triedCost   = 1e3
)

// cost returns the load of u: of an engine the part of its pace that is used, else
// the part of its slots.
func (u *upstream) cost(now time.Time, w wish) float64 {
	slots := float64(max(u.slots, 1))
	cost := float64(u.open) / slots
	if w.model != "" {
		cost = u.unread.left(now).Seconds()/(w.pace.share*defaultGap.Seconds()) + u.load(now)/slots
	}
	if u.remote {
		cost += remoteCost
	}
	if now.Before(u.avoidUntil) {
		cost += avoidedCost
	}
	if slices.Contains(w.tried, u.name) {
		cost += triedCost
	}
	return cost
}

// sent notes that a request goes to u from here, and heard from another instance.
func (u *upstream) sent(now time.Time, reading time.Duration, p pace) {
	u.open++
	u.pace = p
	u.took(now, reading)
}

// use is what another instance tells of an upstream when it sends a request there.
type use struct {
	reading time.Duration
	// open is how many requests it has there.
	open   int
	sender uint32
}

func (u *upstream) heard(now time.Time, told use) {
	u.rivals.heard(now, told.sender)
	u.others.told(now, u.pace.run, told.sender, told.open)
	u.took(now, told.reading)
}

func (u *upstream) took(now time.Time, reading time.Duration) {
	u.unread.add(now, reading, u.pace)
	u.history.note(now, u.load(now))
	u.turn.next()
}

// ended notes that a request at u is over.
func (u *upstream) ended() {
	u.open--
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

// fullFor is how long an upstream that refused for want of room gets no work.
const fullFor = 100 * time.Millisecond

// refused notes that u refused a request without running it.
func (u *upstream) refused(now time.Time) {
	if until := now.Add(fullFor); until.After(u.avoidUntil) {
		u.avoidUntil = until
	}
}

// note takes in what became of a request for a model at u.
func (u *upstream) note(now time.Time, key demandKey, outcome permit.Outcome) {
	switch outcome {
	case permit.Worked:
		u.worked()
	case permit.Full:
		u.refused(now)
	case permit.Absent:
		u.drop(key.model, key.adapter)
	case permit.Failed:
		u.failed(now)
	case permit.Over:
		if limit, limits := u.limit.Limit(); limits && !now.Before(u.limit.heldUntil) {
			u.limit.hold(now, limit.Period())
		}
	case permit.Unused:
	}
}

// worked notes that u answered as it should.
func (u *upstream) worked() {
	u.failures = 0
}
