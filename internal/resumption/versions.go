package resumption

import (
	"maps"
	"time"
)

// Versions holds the software versions that the upstreams of each service have had, and when each
// was last in use. The zero value is empty and ready to use. It is not safe for concurrent use.
type Versions struct {
	lastUse map[string]map[string]time.Time
}

// Observe records that an upstream of a service had a software version at the given time. It reports
// whether the service had others and not this one before. Versions that have not been in use for
// MaxRetention are forgotten.
func (v *Versions) Observe(service, version string, at time.Time) (added bool) {
	if v.lastUse == nil {
		v.lastUse = map[string]map[string]time.Time{}
	}
	versions := v.lastUse[service]
	if versions == nil {
		maps.DeleteFunc(v.lastUse, func(_ string, versions map[string]time.Time) bool { return unused(versions, at) })
		versions = map[string]time.Time{}
		v.lastUse[service] = versions
	}
	last, known := versions[version]
	if known && !at.After(last) {
		return false
	}
	versions[version] = at
	if known {
		return false
	}
	for other, lastUse := range versions {
		if at.Sub(lastUse) > MaxRetention {
			delete(versions, other)
		}
	}
	return len(versions) > 1
}

// unused reports whether no version has been in use for MaxRetention.
func unused(versions map[string]time.Time, now time.Time) bool {
	for _, lastUse := range versions {
		if now.Sub(lastUse) <= MaxRetention {
			return false
		}
	}
	return true
}

// Only returns the software version of all upstreams that some services have had since a given time. It
// returns false if there were none, or several versions.
func (v *Versions) Only(since time.Time, services ...string) (version string, ok bool) {
	for _, service := range services {
		for candidate, last := range v.lastUse[service] {
			switch {
			case last.Before(since):
			case ok && candidate != version:
				return "", false
			default:
				version, ok = candidate, true
			}
		}
	}
	return version, ok
}

// HasOther reports whether upstreams that some services have had since a given time had another software version.
func (v *Versions) HasOther(version string, since time.Time, services ...string) bool {
	for _, service := range services {
		for candidate, last := range v.lastUse[service] {
			if candidate != version && !last.Before(since) {
				return true
			}
		}
	}
	return false
}

// LastUse returns the latest time at which a version of a service was in use, zero if that is not known.
func (v *Versions) LastUse(service, version string) time.Time {
	return v.lastUse[service][version]
}

// Several reports whether the upstreams of a service have had several software versions since a given
// time.
func (v *Versions) Several(service string, since time.Time) bool {
	count := 0
	for _, last := range v.lastUse[service] {
		if !last.Before(since) {
			count++
		}
	}
	return count > 1
}
