package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Place is where a request was sent.
type Place struct {
	Lifetime
	Address string
}

// Contact is what an instance knows of an upstream whose answers broke off.
type Contact uint8

// The contacts.
const (
	// ContactNone says nothing: the upstream may live behind a link that is cut.
	ContactNone Contact = iota
	// ContactRefused means that nobody listens at the upstream's address.
	ContactRefused
	// ContactReplaced means that another process has the name or the address.
	ContactReplaced
	// ContactLeaving means that the upstream had said that it goes.
	ContactLeaving
)

const (
	// reviewTime is how long after requests broke off the upstream may turn out to have
	// ended: it starts again some seconds after a crash, and is heard of then.
	reviewTime = 10 * time.Second
	// settleTime is how long requests that break off together are gathered.
	settleTime = 50 * time.Millisecond
	// togetherTime is how far apart requests break off that an upstream had as it ended,
	// those included that their callers left.
	togetherTime = time.Second
	// lookEvery is the least time between two looks at an upstream.
	lookEvery = 500 * time.Millisecond
	// maxLosses bounds the upstreams under review, and maxSuspects the requests of one.
	maxLosses   = 256
	maxSuspects = 256
)

// loss is an upstream whose answers broke off.
type loss struct {
	place Place
	// broken are the requests that broke off together last, or that callers left then. Once
	// ended is true, those from reported on are not reported yet.
	broken   []brokenRequest
	reported int
	// last is when the last of them broke off, zero while callers left all of them.
	last time.Time
	// begun is when the review began, and lookedAt when the upstream was to be looked at.
	begun, lookedAt time.Time
	ended           bool
}

// brokenRequest is a request that an upstream had until a time.
type brokenRequest struct {
	Suspect
	at time.Time
}

// losses are the upstreams under review, by lifetime. The zero value is none.
type losses struct {
	open map[Lifetime]*loss
}

// of returns the loss of an upstream, which is begun if there is none. It returns nil if
// there are too many.
func (l *losses) of(now time.Time, place Place) *loss {
	if known := l.open[place.Lifetime]; known != nil {
		return known
	}
	if len(l.open) >= maxLosses {
		return nil
	}
	if l.open == nil {
		l.open = map[Lifetime]*loss{}
	}
	begun := &loss{place: place, begun: now}
	l.open[place.Lifetime] = begun
	return begun
}

// broke notes a request whose answer broke off, and reports whether the upstream is to be
// looked at.
func (l *losses) broke(now time.Time, place Place, suspect Suspect) bool {
	known := l.of(now, place)
	if known == nil {
		return false
	}
	known.add(now, suspect)
	known.last = now
	if known.ended || !known.lookedAt.IsZero() && now.Sub(known.lookedAt) < lookEvery {
		return false
	}
	known.lookedAt = now
	return true
}

// leave notes a request that its caller has left.
func (l *losses) leave(now time.Time, place Place, suspect Suspect) {
	if known := l.of(now, place); known != nil && !known.ended {
		known.add(now, suspect)
	}
}

// add notes a request. While the upstream may live, those of longer before are forgotten:
// they broke off for another reason.
func (l *loss) add(now time.Time, suspect Suspect) {
	if !l.ended {
		l.broken = slices.DeleteFunc(l.broken, func(b brokenRequest) bool { return now.Sub(b.at) > togetherTime })
	}
	if len(l.broken) < maxSuspects {
		l.broken = append(l.broken, brokenRequest{suspect, now})
	}
}

// unreported returns the requests that are not reported yet.
func (l *loss) unreported() []Suspect {
	suspects := make([]Suspect, 0, len(l.broken)-l.reported)
	for _, b := range l.broken[l.reported:] {
		suspects = append(suspects, b.Suspect)
	}
	return suspects
}

// learn takes in what is known of an upstream.
func (l *losses) learn(lifetime Lifetime, contact Contact) {
	known := l.open[lifetime]
	if known == nil {
		return
	}
	switch contact {
	case ContactLeaving:
		delete(l.open, lifetime)
	case ContactRefused, ContactReplaced:
		known.ended = known.ended || !known.last.IsZero()
	case ContactNone:
	}
}

// sweep forgets the upstreams that did not turn out to have ended.
func (l *losses) sweep(now time.Time) {
	maps.DeleteFunc(l.open, func(_ Lifetime, known *loss) bool { return known.isOver(now) })
}

// isOver reports whether the upstream is not expected to turn out to have ended any more.
func (l *loss) isOver(now time.Time) bool {
	if l.last.IsZero() {
		return now.Sub(l.begun) > togetherTime
	}
	return now.Sub(l.last) > reviewTime
}

// isPending reports whether an upstream has ended under requests that are not reported.
func (l *losses) isPending() bool {
	for _, known := range l.open {
		if known.ended && known.reported < len(known.broken) {
			return true
		}
	}
	return false
}

// due returns what is to be reported of upstreams that have ended, and marks it as
// reported.
func (l *losses) due(now time.Time) []Report {
	var reports []Report
	for _, known := range l.open {
		if !known.ended || known.reported == len(known.broken) || now.Sub(known.last) < settleTime {
			continue
		}
		reports = append(reports, Report{Lifetime: known.place.Lifetime, Suspects: known.unreported()})
		known.reported = len(known.broken)
	}
	slices.SortFunc(reports, func(a, b Report) int { return compareLifetimes(a.Lifetime, b.Lifetime) })
	return reports
}
