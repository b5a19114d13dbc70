package quarantine

import (
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
	// leftTime is how long a request that its caller has left may still have been what
	// the upstream ended under.
	leftTime = time.Second
	// maxLosses bounds the upstreams under review, and maxSuspects the requests of one.
	maxLosses   = 256
	maxSuspects = 256
)

// loss is an upstream whose answers broke off.
type loss struct {
	place Place
	// suspects are the requests that were there. Those from reported on are not
	// reported yet.
	suspects []Suspect
	reported int
	// left are requests that callers had left, with the time.
	left []leftRequest
	// began is when the first request broke off, and last when the last did.
	began, last time.Time
	broken      bool
	ended       bool
}

type leftRequest struct {
	suspect Suspect
	at      time.Time
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
	begun := &loss{place: place, began: now, last: now}
	l.open[place.Lifetime] = begun
	return begun
}

// broke notes a request whose answer broke off, and reports whether it is the first one
// of the upstream.
func (l *losses) broke(now time.Time, place Place, suspect Suspect) bool {
	known := l.of(now, place)
	if known == nil {
		return false
	}
	known.add(suspect)
	first := !known.broken
	if first {
		known.began, known.broken = now, true
	}
	known.last = now
	return first
}

// leave notes a request that its caller has left.
func (l *losses) leave(now time.Time, place Place, suspect Suspect) {
	known := l.of(now, place)
	if known == nil {
		return
	}
	if !known.broken {
		known.last = now
	}
	known.left = slices.DeleteFunc(known.left, func(r leftRequest) bool { return now.Sub(r.at) > leftTime })
	if len(known.left) < maxSuspects {
		known.left = append(known.left, leftRequest{suspect, now})
	}
}

func (l *loss) add(suspect Suspect) {
	if len(l.suspects) < maxSuspects {
		l.suspects = append(l.suspects, suspect)
	}
}

// end notes that the upstream has ended.
func (l *loss) end() {
	if l.ended {
		return
	}
	l.ended = true
	for _, left := range l.left {
		if l.began.Sub(left.at) <= leftTime {
			l.add(left.suspect)
		}
	}
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
		if known.broken {
			known.end()
		}
	case ContactNone:
	}
}

// sweep forgets the upstreams that did not turn out to have ended.
func (l *losses) sweep(now time.Time) {
	for lifetime, known := range l.open {
		quiet := now.Sub(known.last)
		if !known.broken && quiet > leftTime || quiet > reviewTime {
			delete(l.open, lifetime)
		}
	}
}

// isPending reports whether an upstream has ended under requests that are not reported.
func (l *losses) isPending() bool {
	for _, known := range l.open {
		if known.ended && known.reported < len(known.suspects) {
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
		if !known.ended || known.reported == len(known.suspects) || now.Sub(known.last) < settleTime {
			continue
		}
		reports = append(reports, Report{
			Lifetime: known.place.Lifetime, Suspects: slices.Clone(known.suspects[known.reported:]),
		})
		known.reported = len(known.suspects)
	}
	slices.SortFunc(reports, func(a, b Report) int { return compareLifetimes(a.Lifetime, b.Lifetime) })
	return reports
}
