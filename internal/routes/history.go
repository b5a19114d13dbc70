package routes

import (
	"maps"
	"strings"
	"time"
)

// maxPlaces bounds the places of a History.
const maxPlaces = 1 << 14

// History tells which services requests went to before the routes changed. The zero value is empty and
// ready to use. It is not safe for concurrent use.
type History struct {
	// left maps each place whose requests went elsewhere to the services to which they had gone, with the
	// time until which they did.
	left map[place]map[string]time.Time
	// forgottenUntil is the time until which places are not known, because there were too many.
	forgottenUntil time.Time
}

// place is a host and a prefix of paths, which begins and ends with a slash.
type place struct{ host, prefix string }

// Replace records that a table was replaced at the given time, and returns the services whose requests go
// elsewhere since then. What was replaced longer than retention ago is forgotten.
func (h *History) Replace(now time.Time, former, successor *Table, retention time.Duration) (redirected map[string]bool) {
	h.forget(now.Add(-retention))
	redirected = map[string]bool{}
	before, after := former.byPlace(), successor.byPlace()
	for _, list := range []map[place]*Route{before, after} {
		for p := range list {
			from, to := longest(before, p), longest(after, p)
			if from == nil || to != nil && from.goesLike(to) {
				continue
			}
			h.leave(now, p, from.Services())
			maps.Copy(redirected, from.Services())
		}
	}
	return redirected
}

func (h *History) forget(until time.Time) {
	for p, services := range h.left {
		maps.DeleteFunc(services, func(_ string, left time.Time) bool { return left.Before(until) })
		if len(services) == 0 {
			delete(h.left, p)
		}
	}
}

// leave records that requests of a place went to services until now.
func (h *History) leave(now time.Time, p place, services map[string]bool) {
	if h.left == nil || len(h.left) >= maxPlaces && h.left[p] == nil {
		if h.left != nil {
			h.forgottenUntil = now
		}
		h.left = map[place]map[string]time.Time{}
	}
	if h.left[p] == nil {
		h.left[p] = make(map[string]time.Time, len(services))
	}
	for service := range services {
		h.left[p][service] = now
	}
}

// Services returns the services that requests of a host and path, or of a part of it, left since a time
// which is no longer ago than the retention. It returns false if some may be unknown.
func (h *History) Services(host, path string, since time.Time) (services map[string]bool, ok bool) {
	services = map[string]bool{}
	for p := range enclosing(place{strings.ToLower(host), path}) {
		for service, left := range h.left[p] {
			if !left.Before(since) {
				services[service] = true
			}
		}
	}
	return services, h.forgottenUntil.Before(since)
}

// byPlace returns the routes of a table by place.
func (t *Table) byPlace() map[place]*Route {
	routes := make(map[place]*Route, t.routes)
	for host, list := range t.hosts {
		for _, route := range list {
			routes[place{host, route.Prefix}] = route
		}
	}
	return routes
}

// longest returns the route with the longest prefix that begins that of a place, or nil.
func longest(routes map[place]*Route, p place) *Route {
	for outer := range enclosing(p) {
		if route := routes[outer]; route != nil {
			return route
		}
	}
	return nil
}

// enclosing yields the places to which a place belongs, the longest first.
func enclosing(p place) func(yield func(place) bool) {
	return func(yield func(place) bool) {
		for end := strings.LastIndexByte(p.prefix, '/'); end >= 0; end = strings.LastIndexByte(p.prefix[:end], '/') {
			if !yield(place{p.host, p.prefix[:end+1]}) {
				return
			}
		}
	}
}
