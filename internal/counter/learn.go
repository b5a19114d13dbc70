package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/speed"
)

// speedOf returns what is known of the engines of a service. c.mu is held.
func (c *Counter) speedOf(service *routes.Service) *speed.Speed {
	known := c.speeds[service.Name]
	if known == nil {
		known = speed.New(service.Engine.Stride)
		c.speeds[service.Name] = known
	}
	return known
}

// measure works out what a request takes of the engines of its service. c.mu is held.
func (c *Counter) measure(n *need) {
	of := c.speedFor(n.service)
	n.pace = paceOf(n.gap, of)
	n.reading = of.Reading(n.model, n.promptTokens)
	n.answering = of.Answering(n.answerTokens)
}

// speedFor is speedOf by a service's name. Of one that no route in force goes to, no more
// is known than of any other.
func (c *Counter) speedFor(service string) *speed.Speed {
	if table := c.table.Load(); table != nil {
		if known := table.Service(service); known != nil && known.Engine != nil {
			return c.speedOf(known)
		}
	}
	return speed.New(0)
}

// sample is what a whole answer says of the speed of its engine. The zero sample says
// nothing.
type sample struct {
	// first is the time to the first event, less what the engine read before, and run how
	// long it had the request.
	first time.Duration
	run   time.Duration
	// events came over writing, after the first.
	events  int
	writing time.Duration
}

// sample returns what a stream that has come whole says of its engine. Sent more than once,
// it says little: the time that others took is in it.
func (t *trip) sample() sample {
	if t.model == "" || t.sends != 1 {
		return sample{}
	}
	return sample{
		first: t.timing.first.Sub(t.timing.sent) - t.unread, run: t.timing.last.Sub(t.timing.sent),
		events: t.timing.events, writing: t.timing.last.Sub(t.timing.first),
	}
}

// learn takes in what a request says of the engines of its service. c.mu is held.
func (c *Counter) learn(n *need, s sample) {
	of := c.speeds[n.service]
	if of == nil || s.run <= 0 {
		return
	}
	of.Read(n.model, n.promptTokens, s.first)
	of.Ran(s.run)
	of.Wrote(n.answerTokens, s.events, s.writing)
}
