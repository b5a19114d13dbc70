package demand

import (
	"cmp"
	"slices"
	"time"
)

// Target is what requests ask for: a model, or an adapter beside one. Requests
// for an adapter do not count for the model alone.
type Target struct {
	Model   string
	Adapter string
}

func (t Target) compare(other Target) int {
	return cmp.Or(cmp.Compare(t.Model, other.Model), cmp.Compare(t.Adapter, other.Adapter))
}

// Count is what an instance saw of one target in one interval.
type Count struct {
	Target Target
	// Offered is how many requests arrived, those that were refused included.
	Offered int64
	// Ended is how many answers ended, and Held how long upstreams held those
	// requests, in sum.
	Ended int64
	Held  time.Duration
}

// Report is what one instance saw since its last report. Only targets with
// something to count stand in it, so an instance that serves 40 targets sends 40
// counts, however many are declared.
type Report struct {
	// Instance and Incarnation name the sender.
	Instance    string
	Incarnation uint64
	// Sequence grows with every report of an incarnation. A report that does not
	// grow it is a copy, and is ignored.
	Sequence uint64
	// Counts are sorted by target, each of which stands there once.
	Counts []Count
}

// Merged returns the counts of several reports as one, under the name of the
// instance that merges. The order of the reports does not matter.
func Merged(instance string, incarnation, sequence uint64, reports ...Report) Report {
	var all []Count
	for _, r := range reports {
		all = append(all, r.Counts...)
	}
	slices.SortFunc(all, func(a, b Count) int { return a.Target.compare(b.Target) })
	merged := Report{Instance: instance, Incarnation: incarnation, Sequence: sequence}
	for _, c := range all {
		last := len(merged.Counts) - 1
		if last < 0 || merged.Counts[last].Target != c.Target {
			merged.Counts = append(merged.Counts, c)
			continue
		}
		merged.Counts[last].Offered += c.Offered
		merged.Counts[last].Ended += c.Ended
		merged.Counts[last].Held += c.Held
	}
	return merged
}
