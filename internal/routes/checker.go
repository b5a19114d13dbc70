package routes

import (
	"fmt"
	"strings"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

// New returns the Table of draft. If draft is invalid, New returns a *finding.Error with
// all faults and their places.
func New(draft Draft) (*Table, error) {
	c := checker{table: &Table{
		Version:  draft.Version,
		Limits:   draft.Limits,
		services: make(map[string]*Service, len(draft.Services)),
		hosts:    map[string][]*Route{},
		routes:   len(draft.Routes),
	}}
	for i := range draft.Services {
		c.service(&draft.Services[i])
	}
	seen := make(map[string]string, len(draft.Routes))
	for i := range draft.Routes {
		c.route(&draft.Routes[i], seen)
	}
	c.table.mixesUrgency = mixesUrgency(draft.Routes)
	c.table.indexResumable(draft.Routes)
	c.table.Workspaces = workspace.New(draft.Workspaces, &c.findings)
	return c.table, c.findings.Err()
}

func mixesUrgency(list []Route) bool {
	batch, interactive := false, false
	for i := range list {
		batch = batch || list[i].Batch()
		interactive = interactive || list[i].Objective > 0 && !list[i].Batch()
	}
	return batch && interactive
}

// checker builds a Table from a draft and collects the faults of the draft.
type checker struct {
	table    *Table
	findings finding.List
}

// service checks a service and adds it to the table.
func (c *checker) service(service *Service) {
	place := finding.Place{File: "service " + service.Name}
	if service.Name == "" {
		c.findings.Add(place, "a service has no name", "")
	}
	if _, duplicate := c.table.services[service.Name]; duplicate {
		c.findings.Add(place, "two services have this name", "")
	}
	c.table.services[service.Name] = service
	if service.Engine != nil {
		service.Engine.indexModels()
	}
}

// route checks a route and adds it to the table. seen maps the host and prefix of each
// route checked before to its name.
func (c *checker) route(route *Route, seen map[string]string) {
	place := finding.Place{File: "route " + route.Name}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		c.findings.Add(place, fmt.Sprintf("the prefix %q does not begin and end with a slash", route.Prefix), "")
	}
	host := strings.ToLower(route.Host)
	key := host + " " + route.Prefix
	if other, duplicate := seen[key]; duplicate {
		c.findings.Add(place, "it has the host and prefix of route "+other, "")
	}
	seen[key] = route.Name
	if route.Timeout <= 0 {
		c.findings.Add(place, "its timeout is not above 0", "")
	}
	if route.Kind < Idempotent || route.Kind > Stream {
		c.findings.Add(place, "its kind is not known", "")
	}
	route.MaxAttempts = max(route.MaxAttempts, 1)
	c.shares(place, route)
	c.table.hosts[host] = append(c.table.hosts[host], route)
}

// shares checks the shares of a route.
func (c *checker) shares(place finding.Place, route *Route) {
	total := 0.0
	for _, share := range route.Shares {
		if c.table.services[share.Service] == nil {
			c.findings.Add(place, fmt.Sprintf("it goes to %q, which is no service", share.Service), "")
		}
		if !validWeight(share.Weight) {
			c.findings.Add(place, fmt.Sprintf("the weight %g is no share", share.Weight), "")
			continue
		}
		total += share.Weight
	}
	if total <= 0 {
		c.findings.Add(place, "its weights add up to 0", "")
	}
}
