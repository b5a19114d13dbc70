package counter

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/permit"
)

const (
	// answerTime is how long the owner of a model has to answer. The way there and back
	// takes 3 ms, and a process that others leave little of the processor some tens.
	answerTime = 40 * time.Millisecond
	// askTimes is how often an owner is asked that does not answer. It is lost then, or
	// has no time: another one decides.
	askTimes = 2
	// renewEvery is the time between two looks whether the owner still has a request that
	// waits there: it may have been started anew.
	renewEvery = 200 * time.Millisecond
	// maxOwners is how many owners a request asks before it decides by itself.
	maxOwners = 2
)

var (
	// errNoOwner says that a request is decided on here: this instance owns the model, no
	// owner answers, or what one answered can't be used.
	errNoOwner = errors.New("counter: no other instance decides")
	// errSilent says that an owner does not answer.
	errSilent = errors.New("counter: the owner does not answer")
)

// question is a request of this instance that another one decides on.
type question struct {
	owner netip.AddrPort
	// answers gets what the owner says. It holds all answers to the questions that are
	// sent; what is too much is sent again.
	answers chan permit.Message
}

// awaitOwner waits for a place that the owner of the model grants. It returns errNoOwner
// if there is none to ask.
func (t *trip) awaitOwner(ctx context.Context) (place, error) {
	c := t.counter
	for range maxOwners {
		now := c.options.Now()
		c.mu.Lock()
		owner, ok := c.ownerOf(now, &t.need)
		c.mu.Unlock()
		if !ok {
			return place{}, errNoOwner
		}
		t.owner = owner
		id, answer, err := t.ask(ctx, owner)
		c.countAnswer(ctx, answer)
		switch m := answer.(type) {
		case permit.Granted:
			return c.placeOf(t, owner, m)
		case permit.Refused:
			return place{}, &rejection{
				reason: m.Reason, comeBack: m.ComeBack, forecast: m.Forecast, survey: survey(m.Survey),
			}
		case permit.Moved:
			c.avoid(owner, avoidStopping)
			continue
		}
		if errors.Is(err, errNoOwner) {
			return place{}, err
		}
		// A grant may be on its way.
		c.exchange.tell(owner, permit.Ended{ID: id})
		if ctx.Err() != nil {
			t.missing = lackRoom
			return place{}, ctx.Err()
		}
		c.avoid(owner, avoidSilent)
		c.logLine(c.options.Now(), "owner silent").Err(err).Stringer("owner", owner).Str("request", t.call.ID).
			Str("model", t.model).Msg("the owner of a model does not answer; another decides")
	}
	return place{}, errNoOwner
}

// ask asks an owner until it decides. The answer is nil if it does not in time.
func (t *trip) ask(ctx context.Context, owner netip.AddrPort) (permit.ID, permit.Message, error) {
	c := t.counter
	id, q := c.question(t, owner)
	defer c.endQuestion(t, id)
	if !c.exchange.tell(owner, t.askFor(id)) {
		// What the caller named is too long for a question. That is no fault of the owner.
		return id, nil, errNoOwner
	}
	timer := time.NewTimer(answerTime)
	defer timer.Stop()
	for asked := 1; ; {
		select {
		case answer := <-q.answers:
			if _, queued := answer.(permit.Queued); !queued {
				return id, answer, nil
			}
			asked = 0
			timer.Reset(renewEvery)
		case <-timer.C:
			if asked == askTimes {
				return id, nil, errSilent
			}
			asked++
			c.exchange.tell(owner, t.askFor(id))
			timer.Reset(answerTime)
		case <-ctx.Done():
			return id, nil, ctx.Err()
		}
	}
}

// countAnswer counts what an owner answered, if it did.
func (c *Counter) countAnswer(ctx context.Context, answer permit.Message) {
	name := "none"
	switch answer.(type) {
	case permit.Granted:
		name = "granted"
	case permit.Refused:
		name = "refused"
	case permit.Moved:
		name = "moved"
	default:
		if ctx.Err() != nil {
			name = "waited in vain"
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.metrics.answeredBy(name)
}

// askFor returns the question that an owner is asked now.
func (t *trip) askFor(id permit.ID) permit.Ask {
	now := t.counter.options.Now()
	return permit.Ask{
		ID: id, Service: t.service, Model: t.model, Adapter: t.adapter,
		PromptTokens: t.promptTokens, AnswerTokens: t.answerTokens, Priority: t.priority,
		Objective: t.objective, Gap: t.gap, Age: now.Sub(t.began), Left: t.deadline.Sub(now), Tried: t.tried,
	}
}

// question begins a question.
func (c *Counter) question(t *trip, owner netip.AddrPort) (permit.ID, *question) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countNeed(&t.need, 1)
	return c.openQuestion(owner)
}

// openQuestion begins a question to another instance. c.mu is held.
func (c *Counter) openQuestion(owner netip.AddrPort) (permit.ID, *question) {
	c.lastQuestion++
	q := &question{owner: owner, answers: make(chan permit.Message, askTimes+1)}
	c.questions[c.lastQuestion] = q
	return c.lastQuestion, q
}

func (c *Counter) closeQuestion(id permit.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.questions, id)
}

func (c *Counter) endQuestion(t *trip, id permit.ID) {
	c.closeQuestion(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countNeed(&t.need, -1)
}

func (c *Counter) avoid(owner netip.AddrPort, span time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners.avoid(c.options.Now(), owner, span)
}

// placeOf returns the place that an owner has granted.
//
// An owner that is cut off from the control instances does not hear that an upstream
// leaves, and would have requests sent to it until it is gone. So an upstream that leaves
// by what is known here is given back, and placeOf returns errNoOwner.
func (c *Counter) placeOf(t *trip, owner netip.AddrPort, m permit.Granted) (place, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.fleet.upstreams[m.Upstream]
	if u != nil && u.Leaving {
		c.exchange.tell(owner, permit.Ended{ID: m.ID, Outcome: permit.Absent})
		return place{}, errNoOwner
	}
	if u == nil || u.address != m.Address {
		// The owner has heard of it first.
		u = &upstream{name: m.Upstream, address: m.Address, service: t.service}
	}
	return place{upstream: u, unread: m.Unread, owner: owner, id: m.ID}, nil
}

// deliver hands an owner's answer to the request that waits for it. c.mu is held.
func (c *Counter) deliver(from netip.AddrPort, id permit.ID, answer permit.Message) {
	q := c.questions[id]
	if q != nil && q.owner == from {
		select {
		case q.answers <- answer:
			return
		default:
		}
	}
	if _, granted := answer.(permit.Granted); granted {
		// The request did not wait for it.
		c.exchange.tell(from, permit.Ended{ID: id})
	}
}
