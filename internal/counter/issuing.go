package counter

import (
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// issued is a question of another instance that this one decides on.
type issued struct {
	waiter *waiter
	// place is what was granted, without an upstream while the request waits.
	place place
	// until is when the permit is forgotten, whatever the asker says: it may be lost.
	until time.Time
}

const (
	// permitRuns is how long a permit lasts at the most, in times that a request is at an
	// engine. Permits that end unheard leave an engine looking fuller than it is.
	permitRuns = 4
	// leastPermit is how long it lasts at the least.
	leastPermit = 2 * time.Second
	// askerGrace is how long a request that waits is kept beyond what its asker waits.
	askerGrace = 500 * time.Millisecond
)

// hear takes in a message of another instance.
func (c *Counter) hear(now time.Time, from netip.AddrPort, message permit.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch m := message.(type) {
	case permit.Ask:
		c.answer(now, from, m)
	case permit.Ended:
		c.endPermit(now, otherInstance{from, m.ID}, m)
	case permit.Use:
		if u := c.fleet.upstreams[m.Upstream]; u != nil {
			u.heard(now, use{reading: m.Reading, open: m.Open, sender: hashOf(from)})
		}
	case permit.Limited:
		c.hearLimited(now, m)
	case permit.Claim:
		c.answerClaim(now, from, m)
	case permit.Allowed:
		c.deliver(from, m.ID, m)
	case permit.Held:
		c.deliver(from, m.ID, m)
	case permit.Granted:
		c.deliver(from, m.ID, m)
	case permit.Queued:
		c.deliver(from, m.ID, m)
	case permit.Refused:
		c.deliver(from, m.ID, m)
	case permit.Moved:
		c.deliver(from, m.ID, m)
	}
}

// answer decides on a question, or tells again what was decided. c.mu is held.
func (c *Counter) answer(now time.Time, from netip.AddrPort, m permit.Ask) {
	asker := otherInstance{from, m.ID}
	if known := c.permits[asker]; known != nil {
		c.tellDecision(asker, known)
		return
	}
	if c.draining {
		c.metrics.decided("moved")
		c.exchange.tell(from, permit.Moved{ID: m.ID})
		return
	}
	w := &waiter{need: c.needOf(now, m), asker: asker, sharers: 1}
	known := &issued{waiter: w, until: w.need.began.Add(w.need.longestWait() + askerGrace)}
	c.permits[asker] = known
	c.enqueue(now, w)
	if known.place.upstream != nil {
		return
	}
	if rejected := c.turnAway(now, w); rejected != nil {
		delete(c.permits, asker)
		c.metrics.decided("refused")
		c.exchange.tell(from, permit.Refused{
			ID: m.ID, Reason: rejected.reason, ComeBack: rejected.comeBack, Forecast: rejected.forecast,
			Survey: permit.Survey(rejected.survey),
		})
		return
	}
	c.metrics.decided("queued")
	c.tellDecision(asker, known)
}

// needOf returns what a request of another instance asks for.
func (c *Counter) needOf(now time.Time, m permit.Ask) need {
	n := need{
		demandKey:    demandKey{service: m.Service, model: m.Model, adapter: m.Adapter},
		promptTokens: m.PromptTokens, answerTokens: m.AnswerTokens, priority: m.Priority, objective: m.Objective,
		gap: m.Gap, began: now.Add(-m.Age), deadline: now.Add(m.Left), tried: m.Tried,
	}
	c.measure(&n)
	return n
}

// issue grants a request of another instance a place. c.mu is held.
func (c *Counter) issue(now time.Time, asker otherInstance, granted place) {
	known := c.permits[asker]
	known.place = granted
	c.metrics.decided("granted")
	n := &known.waiter.need
	known.until = now.Add(min(n.deadline.Sub(now), max(permitRuns*n.pace.run, leastPermit)))
	c.tellDecision(asker, known)
}

// tellDecision tells an asker where its request stands.
func (c *Counter) tellDecision(asker otherInstance, known *issued) {
	u := known.place.upstream
	if u == nil {
		c.exchange.tell(asker.address, permit.Queued{ID: asker.id})
		return
	}
	c.exchange.tell(asker.address, permit.Granted{
		ID: asker.id, Upstream: u.name, Address: u.address, Unread: known.place.unread,
	})
}

// endPermit takes in what became of a request of another instance. c.mu is held.
func (c *Counter) endPermit(now time.Time, asker otherInstance, m permit.Ended) {
	known := c.permits[asker]
	if known == nil {
		return
	}
	c.dropPermit(asker, known)
	if u := known.place.upstream; u != nil {
		u.note(now, known.waiter.need.demandKey, m.Outcome)
		c.learn(&known.waiter.need, sample{first: m.First, run: m.Run, events: m.Events, writing: m.Writing})
	}
}

func (c *Counter) dropPermit(asker otherInstance, known *issued) {
	delete(c.permits, asker)
	if u := known.place.upstream; u != nil {
		u.ended()
		return
	}
	c.dequeue(known.waiter)
}

// sweepPermits forgets what the asker has not ended in time.
func (c *Counter) sweepPermits(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweepClaims(now)
	for asker, known := range c.permits {
		if now.After(known.until) {
			c.dropPermit(asker, known)
		}
	}
}

// hashOf tells other instances apart.
func hashOf(from netip.AddrPort) uint32 {
	sum := fnv.New32a()
	text, _ := from.MarshalBinary()
	_, _ = sum.Write(text)
	return sum.Sum32()
}
