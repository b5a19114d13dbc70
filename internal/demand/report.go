package demand

import (
	"cmp"
	"slices"
	"time"
)

// Target is a model, or an adapter of a model, that requests ask for. Requests
// for an adapter do not count for the model alone.
type Target struct {
	Model   string
	Adapter string
}

func (t Target) compare(other Target) int {
	return cmp.Or(cmp.Compare(t.Model, other.Model), cmp.Compare(t.Adapter, other.Adapter))
}

// Count is what an instance counted for one target since its last report.
type Count struct {
	Target Target
	// Offered is how many requests arrived, including rejected ones.
	Offered int64
	// Ended is how many responses ended, and HoldTime the total time that
	// upstreams held their requests.
	Ended    int64
	HoldTime time.Duration
}

// Report is the counts of one instance since its last report. It contains only
// targets with a nonzero count, so an instance that serves 40 targets sends 40
// counts, however many are declared.
type Report struct {
	// Instance and Incarnation identify the sender.
	Instance    string
	Incarnation uint64
	// Sequence increases with every report of an incarnation. A report that
	// does not increase it is a duplicate and is ignored.
	Sequence uint64
	// Counts are sorted by target, without duplicates.
	Counts []Count
}

// Merge returns one report with the sums of the counts of several reports, as a
// report of the given instance. The order of the reports does not matter.
func Merge(instance string, incarnation, sequence uint64, reports ...Report) Report {
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
		merged.Counts[last].HoldTime += c.HoldTime
	}
	return merged
}
