package counter

import (
	"slices"
	"time"
)

// membersSettleTime is how long an instance that has just started does not name others to callers.
// After a restart of all instances, the first lists hold those few that have synced already, and
// all callers would connect to them.
const membersSettleTime = 1500 * time.Millisecond

// OpenEntries returns the caller addresses of the entry instances that accept requests, by failure
// domain. It returns nil while this instance does not know them for long enough.
func (p *Proxy) OpenEntries(now time.Time) map[string][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.control
	if c.membersSince.IsZero() || now.Sub(c.membersSince) < membersSettleTime {
		return nil
	}
	if !p.draining {
		return c.open
	}
	return withoutEntry(c.open, p.options.FailureDomain, p.options.CallerAddress)
}

// withoutEntry returns a copy of open without one address of a failure domain.
func withoutEntry(open map[string][]string, domain, address string) map[string][]string {
	others := make(map[string][]string, len(open))
	for name, addresses := range open {
		if name == domain {
			addresses = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == address })
		}
		others[name] = addresses
	}
	return others
}
