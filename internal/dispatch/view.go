package dispatch

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// View is what this instance knows of one upstream. It is complete: it replaces
// the View before.
type View struct {
	Name          string
	Address       string
	FailureDomain string
	// Incarnation grows with every start of the upstream, Sequence with every
	// announcement of an incarnation.
	Incarnation uint64
	Sequence    uint64
	Kind        upstreamapi.Kind
	// Resident is what an engine can run now.
	Resident []upstreamapi.Resident
	// Services are the plain services it answers for.
	Services []string
	Load     upstreamapi.Load
	// LoadAt is when the figures of Load were taken, by this instance's clock.
	LoadAt time.Time
	// LeaseUntil is when the upstream stops receiving new work unless another
	// View comes.
	LeaseUntil time.Time
	// Leaving says that the upstream has announced its stop. It receives no new
	// work, from this View on.
	Leaving bool
}

// FromAnnouncement returns the View that follows from an announcement that came
// in at now, with a lease that starts then.
func FromAnnouncement(now time.Time, a upstreamapi.Announcement, lease time.Duration) View {
	return View{
		Name:          a.Name,
		Address:       a.Address,
		FailureDomain: a.FailureDomain,
		Incarnation:   a.Incarnation,
		Sequence:      a.Sequence,
		Kind:          a.Kind,
		Resident:      a.Resident,
		Services:      a.Services,
		Load:          a.Load,
		LoadAt:        now.Add(-a.Load.Age),
		LeaseUntil:    now.Add(lease),
	}
}

// olderThan reports whether v was announced before other.
func (v *View) olderThan(other *View) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation < other.Incarnation
	}
	return v.Sequence < other.Sequence
}

// Target names what has to be resident at an upstream to run a request.
type Target struct {
	// Model and Adapter name a model and an adapter beside it. One of them may be
	// empty: an adapter is found without its model, too.
	Model   string
	Adapter string
	// Version is the version of Model, any if empty.
	Version string
	// Service names a plain service. Model is empty then.
	Service string
}

// String returns the target in one word, for logs and as a name of its queue.
func (t Target) String() string {
	if t.Service != "" {
		return "service:" + t.Service
	}
	word := "model:" + t.Model
	if t.Version != "" {
		word += "@" + t.Version
	}
	if t.Adapter != "" {
		word += "+" + t.Adapter
	}
	return word
}

// targets appends all that can be asked of v to dst.
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
	return dst
}

func appendVersions(dst []Target, r upstreamapi.Resident, adapter string) []Target {
	dst = append(dst, Target{Model: r.Model, Adapter: adapter})
	if r.Version != "" {
		dst = append(dst, Target{Model: r.Model, Adapter: adapter, Version: r.Version})
	}
	return dst
}
