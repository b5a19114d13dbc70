package desk

import (
	"slices"
	"sync"

	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// need is what a request needs of an upstream. One of model and service is set.
type need struct {
	model   string
	service string
}

func (n need) met(announcement upstreamapi.Announcement) bool {
	if n.service != "" {
		return announcement.Kind == upstreamapi.KindService && slices.Contains(announcement.Services, n.service)
	}
	return slices.ContainsFunc(announcement.Resident, func(resident upstreamapi.Resident) bool {
		return resident.Model == n.model || slices.Contains(resident.Adapters, n.model)
	})
}

// choice is a routing decision.
type choice struct {
	chosen    roster.Upstream
	reason    string
	runnersUp []string
}

// chooser chooses the upstream with the fewest requests of this instance in
// progress. It is safe for concurrent use.
type chooser struct {
	mu          sync.Mutex
	outstanding map[string]int
}

func newChooser() *chooser {
	return &chooser{outstanding: map[string]int{}}
}

// choose picks among the upstreams that meet what is needed and were not tried
// yet. It reports false if there is none. The upstream counts as busier until
// done is called with its name.
func (c *chooser) choose(upstreams []roster.Upstream, need need, tried []string) (choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var fit []roster.Upstream
	for _, upstream := range upstreams {
		name := upstream.Announcement.Name
		if need.met(upstream.Announcement) && !slices.Contains(tried, name) {
			fit = append(fit, upstream)
		}
	}
	if len(fit) == 0 {
		return choice{}, false
	}
	slices.SortStableFunc(fit, func(a, b roster.Upstream) int {
		return c.outstanding[a.Announcement.Name] - c.outstanding[b.Announcement.Name]
	})
	c.outstanding[fit[0].Announcement.Name]++
	decision := choice{chosen: fit[0], reason: "fewest-outstanding"}
	for _, upstream := range fit[1:] {
		decision.runnersUp = append(decision.runnersUp, upstream.Announcement.Name)
	}
	return decision, true
}

func (c *chooser) done(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outstanding[name]--
	if c.outstanding[name] == 0 {
		delete(c.outstanding, name)
	}
}
