package resumption

import "slices"

// VersionList is the content of Records as sent to an entry instance.
type VersionList struct {
	// Revision is that of the Records, 0 if nothing is recorded yet.
	Revision uint64
	Versions []ServiceVersion
	// SettledRoutes is that of the Records.
	SettledRoutes uint64
}

// ListOf returns the content of records.
func ListOf(records Records) VersionList {
	return VersionList{Revision: records.Revision(), Versions: records.Versions(), SettledRoutes: records.SettledRoutes()}
}

// Catalog is an instance's copy of Records. It is immutable. The zero value has no copy.
type Catalog struct {
	// kept is true once a list has arrived, which shows that the cluster keeps records.
	kept          bool
	revision      uint64
	byService     map[string][]string
	settledRoutes uint64
}

// With returns the copy after a list has arrived. Lists may arrive in any order, and older ones are
// ignored.
func (c Catalog) With(list VersionList) Catalog {
	if c.kept && list.Revision <= c.revision {
		return c
	}
	next := Catalog{kept: true, revision: list.Revision, settledRoutes: list.SettledRoutes, byService: map[string][]string{}}
	for _, version := range list.Versions {
		next.byService[version.Service] = append(next.byService[version.Service], version.Version)
	}
	return next
}

// AwaitsRecords reports whether the cluster keeps records, of which none has arrived.
func (c Catalog) AwaitsRecords() bool {
	return c.kept && c.revision == 0
}

// Revision returns the revision of the copied Records, 0 if there is no copy, or an empty one.
func (c Catalog) Revision() uint64 {
	return c.revision
}

// MayBegin reports whether a stream that may be resumed may begin at a version. All versions may be used
// by an instance that has no copy, since the control instances of its cluster keep no records then.
func (c Catalog) MayBegin(service, version string) bool {
	return !c.kept || slices.Contains(c.byService[service], version)
}

// Only returns the software version at which all streams of some services that may still be resumed have
// begun. It returns false if there are none or several, or if there is no copy.
func (c Catalog) Only(services ...string) (version string, ok bool) {
	for _, service := range services {
		for _, candidate := range c.byService[service] {
			if ok && candidate != version {
				return "", false
			}
			version, ok = candidate, true
		}
	}
	return version, ok
}

// Services returns all services of which versions are recorded.
func (c Catalog) Services() []string {
	services := make([]string, 0, len(c.byService))
	for service := range c.byService {
		services = append(services, service)
	}
	return services
}

// RoutesSettled reports whether streams that may still be resumed can only have begun at services to which
// routes with a digest lead.
func (c Catalog) RoutesSettled(digest uint64) bool {
	return c.settledRoutes != 0 && c.settledRoutes == digest
}
