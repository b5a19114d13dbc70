package counter

import (
	"net/netip"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// owners is which instance decides for which model, as far as this one knows.
type owners struct {
	self  netip.AddrPort
	known permit.Owners
	// avoided are instances that did not answer, and until when they are not asked.
	avoided map[netip.AddrPort]time.Time
	// found are the owners that were looked up, and foundUntil until when they hold: who is
	// avoided changes them. Each grant asks for those of some models, among hundreds of
	// instances.
	found      map[modelKey]netip.AddrPort
	foundUntil time.Time
}

func newOwners(self netip.AddrPort) owners {
	return owners{self: self, avoided: map[netip.AddrPort]time.Time{}, found: map[modelKey]netip.AddrPort{}}
}

const (
	// avoidSilent is how long an instance is not asked that did not answer: one request
	// in that time waits for it in vain, if it is gone.
	avoidSilent = time.Second
	// longestFound is how long an owner that was looked up holds at the most.
	longestFound = 10 * time.Second
	// avoidStopping is how long an instance is not asked that is about to stop, which
	// takes several seconds.
	avoidStopping = 5 * time.Second
)

// follow replaces the instances among which models are shared.
func (o *owners) follow(now time.Time, addresses []string) {
	parsed := make([]netip.AddrPort, 0, len(addresses))
	for _, address := range addresses {
		if instance, err := netip.ParseAddrPort(address); err == nil {
			parsed = append(parsed, instance)
		}
	}
	o.known = permit.NewOwners(parsed)
	o.forgetFound(now)
}

// forgetFound has owners be looked up again, and works out until when they hold.
func (o *owners) forgetFound(now time.Time) {
	clear(o.found)
	o.foundUntil = now.Add(longestFound)
	for address, until := range o.avoided {
		if now.Before(until) {
			o.foundUntil = minTime(o.foundUntil, until)
		} else {
			delete(o.avoided, address)
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// of returns who decides for a model. It returns false if nobody is known.
func (o *owners) of(now time.Time, service, model string) (netip.AddrPort, bool) {
	if !now.Before(o.foundUntil) {
		o.forgetFound(now)
	}
	key := modelKey{service, model}
	if owner, found := o.found[key]; found {
		return owner, true
	}
	owner, known := o.known.Of(service, model, func(address netip.AddrPort) bool {
		return address == o.self || !now.Before(o.avoided[address])
	})
	if known {
		o.found[key] = owner
	}
	return owner, known
}

// avoid has an instance not be asked for a while.
func (o *owners) avoid(now time.Time, address netip.AddrPort, span time.Duration) {
	o.avoided[address] = now.Add(span)
	o.forgetFound(now)
}

// ownerOf returns the other instance that decides for a request. It returns false if this
// one does. c.mu is held.
func (c *Counter) ownerOf(now time.Time, n *need) (netip.AddrPort, bool) {
	if n.model == "" || c.exchange.conn == nil {
		return netip.AddrPort{}, false
	}
	owner, known := c.owners.of(now, n.service, n.model)
	return owner, known && owner != c.owners.self
}

// sharers returns how many instances place requests for the model of a request that is
// decided on here: one, if this one owns it. c.mu is held.
func (c *Counter) sharers(now time.Time, n *need) int {
	if owner, known := c.owners.of(now, n.service, n.model); known && owner == c.owners.self {
		return 1
	}
	return c.links.entries
}

// tellUse tells those who decide for the other models that an engine holds what it gets.
// Its reports come half a second later; in that time they would fill what looks empty.
// c.mu is held.
func (c *Counter) tellUse(now time.Time, u *upstream, n *need) {
	if n.model == "" {
		return
	}
	var told []netip.AddrPort
	for model := range u.models {
		owner, known := c.owners.of(now, u.service, model)
		if !known || owner == c.owners.self || slices.Contains(told, owner) {
			continue
		}
		told = append(told, owner)
		c.exchange.tell(owner, permit.Use{Upstream: u.name, Reading: n.reading, Open: u.open})
	}
}
