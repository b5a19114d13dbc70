package dispatch

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// View is this instance's knowledge of one upstream. A new View replaces the previous one
// completely.
type View struct {
	Name          string
	Address       string
	FailureDomain string
	// Incarnation increases with each start of the upstream, and Sequence with each
	// announcement of the same incarnation.
	Incarnation uint64
	Sequence    uint64
	Kind        upstreamapi.Kind
	// Resident lists the models and adapters that an engine has loaded.
	Resident []upstreamapi.Resident
	// Services lists the plain services that the upstream provides.
	Services []string
	// SoftwareVersion is empty if the upstream announces none.
	SoftwareVersion string
	Load            upstreamapi.Load
	// LoadAt is the time at which Load was measured, on this instance's clock.
	LoadAt time.Time
	// LeaseUntil is the time from which the upstream receives no new requests, unless
	// another View arrives before.
	LeaseUntil time.Time
	// Leaving means that the upstream has announced its shutdown and receives no new
	// requests.
	Leaving bool
}

// ViewFromAnnouncement returns the View for an announcement received at now, with a lease that
// starts then.
func ViewFromAnnouncement(now time.Time, a upstreamapi.Announcement, lease time.Duration) View {
	return View{
		Name:            a.Name,
		Address:         a.Address,
		FailureDomain:   a.FailureDomain,
		Incarnation:     a.Incarnation,
		Sequence:        a.Sequence,
		Kind:            a.Kind,
		Resident:        a.Resident,
		Services:        a.Services,
		SoftwareVersion: a.SoftwareVersion,
		Load:            a.Load,
		LoadAt:          now.Add(-a.Load.Age),
		LeaseUntil:      now.Add(lease),
	}
}

// olderThan reports whether v was announced before other.
func (v *View) olderThan(other *View) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation < other.Incarnation
	}
	return v.Sequence < other.Sequence
}

// Target identifies the model, adapter or plain service that a request needs at an
// upstream.
type Target struct {
	// Model and Adapter are the names of a model and of an adapter for it. Either may be
	// empty: an adapter can be requested without its model.
	Model   string
	Adapter string
	// Version is the version of Model. Empty means any.
	Version string
	// Service is the name of a plain service. Model, Adapter and Version are empty then.
	Service string
	// SoftwareVersion is the version of the upstream's software. Empty means any.
	SoftwareVersion string
}

// WithSoftwareVersion returns the target at the upstreams of a software version.
func (t Target) WithSoftwareVersion(version string) Target {
	t.SoftwareVersion = version
	return t
}

// String returns the target as a short text, for logs and as the name of its pool.
func (t Target) String() string {
	if t.SoftwareVersion != "" {
		return t.WithSoftwareVersion("").String() + " of " + t.SoftwareVersion
	}
	if t.Service != "" {
		return "service:" + t.Service
	}
	text := "model:" + t.Model
	if t.Version != "" {
		text += "@" + t.Version
	}
	if t.Adapter != "" {
		text += "+" + t.Adapter
	}
	return text
}

// targets appends all targets that v serves to dst.
func (v *View) targets(dst []Target) []Target {
	for _, service := range v.Services {
		dst = append(dst, Target{Service: service})
	}
	for _, r := range v.Resident {
		dst = appendVersions(dst, r, "")
		for _, adapter := range r.Adapters {
			dst = append(dst, Target{Adapter: adapter})
			dst = appendVersions(dst, r, adapter)
		}
	}
	if v.SoftwareVersion == "" {
		return dst
	}
	for _, target := range dst {
		dst = append(dst, target.WithSoftwareVersion(v.SoftwareVersion))
	}
	return dst
}

func appendVersions(dst []Target, r upstreamapi.Resident, adapter string) []Target {
	dst = append(dst, Target{Model: r.Model, Adapter: adapter})
	if r.Version != "" {
		dst = append(dst, Target{Model: r.Model, Adapter: adapter, Version: r.Version})
	}
	return dst
}
