package declaration

import (
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two Sets: Added, Removed or Modified. No
// other type implements it.
type Change interface {
	// String returns the change as one line, without its fields.
	String() string
	// Fields returns the fields of the item that change.
	Fields() []FieldChange
	isChange()
}

// Item is one declaration: a FailureDomain, an AcceleratorClass, a Service, a
// Model, an Adapter, a Preset or a Workspace.
type Item interface {
	// Title returns the kind and the name of the item.
	Title() string
	fields() []field
}

// FieldChange is a field that differs. Before is empty for an added item, After
// for a removed one.
type FieldChange struct {
	Name   string
	Before string
	After  string
}

// Added is an item that only the later Set has.
type Added struct{ Item Item }

// Removed is an item that only the earlier Set has.
type Removed struct{ Item Item }

// Modified is an item that both Sets have with different fields.
type Modified struct {
	Before Item
	After  Item
}

func (Added) isChange()    {}
func (Removed) isChange()  {}
func (Modified) isChange() {}

// String returns "add" and the item's title.
func (a Added) String() string { return "add " + a.Item.Title() }

// String returns "remove" and the item's title.
func (r Removed) String() string { return "remove " + r.Item.Title() }

// String returns "change" and the item's title.
func (m Modified) String() string { return "change " + m.After.Title() }

// Fields returns all fields of the item, with their values in After.
func (a Added) Fields() []FieldChange {
	changes := make([]FieldChange, 0)
	for _, f := range a.Item.fields() {
		changes = append(changes, FieldChange{Name: f.name, After: f.value})
	}
	return changes
}

// Fields returns all fields of the item, with their values in Before.
func (r Removed) Fields() []FieldChange {
	changes := make([]FieldChange, 0)
	for _, f := range r.Item.fields() {
		changes = append(changes, FieldChange{Name: f.name, Before: f.value})
	}
	return changes
}

// Fields returns the fields that differ.
func (m Modified) Fields() []FieldChange {
	after := m.After.fields()
	changes := make([]FieldChange, 0)
	for i, f := range m.Before.fields() {
		if f.value != after[i].value {
			changes = append(changes, FieldChange{Name: f.name, Before: f.value, After: after[i].value})
		}
	}
	return changes
}

// Diff returns the changes that turn before into after: those of failure domains,
// accelerator classes, services, models, adapters, presets and workspaces, in this order. The
// changes of one kind are sorted by title. Equal Sets have no changes.
func Diff(before, after Set) []Change {
	changes := make([]Change, 0)
	beforeContent, afterContent := before.content, after.content
	changes = append(changes, diffItems(itemsByTitle(beforeContent.FailureDomains), itemsByTitle(afterContent.FailureDomains))...)
	changes = append(changes, diffItems(itemsByTitle(beforeContent.AcceleratorClasses), itemsByTitle(afterContent.AcceleratorClasses))...)
	changes = append(changes, diffItems(itemsByTitle(beforeContent.Services), itemsByTitle(afterContent.Services))...)
	changes = append(changes, diffItems(itemsByTitle(beforeContent.Models), itemsByTitle(afterContent.Models))...)
	changes = append(changes, diffItems(itemsByTitle(beforeContent.Adapters), itemsByTitle(afterContent.Adapters))...)
	changes = append(changes, diffItems(itemsByTitle(beforeContent.Presets), itemsByTitle(afterContent.Presets))...)
	changes = append(changes, diffItems(itemsByTitle(beforeContent.Workspaces), itemsByTitle(afterContent.Workspaces))...)
	return changes
}

func itemsByTitle[T Item](list []T) map[string]Item {
	byTitle := map[string]Item{}
	for _, entry := range list {
		byTitle[entry.Title()] = entry
	}
	return byTitle
}

func diffItems(before, after map[string]Item) []Change {
	titles := make([]string, 0, len(before)+len(after))
	for title := range before {
		titles = append(titles, title)
	}
	for title := range after {
		if _, inBefore := before[title]; !inBefore {
			titles = append(titles, title)
		}
	}
	slices.Sort(titles)
	changes := make([]Change, 0)
	for _, title := range titles {
		beforeItem, inBefore := before[title]
		afterItem, inAfter := after[title]
		switch {
		case !inBefore:
			changes = append(changes, Added{Item: afterItem})
		case !inAfter:
			changes = append(changes, Removed{Item: beforeItem})
		case len(Modified{Before: beforeItem, After: afterItem}.Fields()) > 0:
			changes = append(changes, Modified{Before: beforeItem, After: afterItem})
		default:
		}
	}
	return changes
}

// field is a field of an item, formatted for operators.
type field struct {
	name  string
	value string
}

// Title returns the kind and the name.
func (d FailureDomain) Title() string { return "failure-domain " + d.Name }

func (d FailureDomain) fields() []field { return nil }

// Title returns the kind and the name.
func (a AcceleratorClass) Title() string { return "accelerator-class " + a.Name }

func (a AcceleratorClass) fields() []field {
	return []field{
		{"memory", a.Memory.exactString()},
		{"count", fmt.Sprint(a.Count)},
	}
}

// Title returns the kind and the name.
func (s Service) Title() string { return "service " + s.Name }

func (s Service) fields() []field {
	return []field{
		{"kind", string(s.Kind)},
		{"goal.first-token", s.Goal.FirstToken.String()},
		{"goal.between-tokens", s.Goal.BetweenTokens.String()},
		{"goal.deadline", s.Goal.Deadline.String()},
		{"goal.priority", fmt.Sprint(s.Goal.Priority)},
		{"models", strings.Join(s.Models, ", ")},
		{"non-idempotent", fmt.Sprint(s.NonIdempotent)},
		{"non-repeatable", strings.Join(callStrings(s.NonRepeatable), ", ")},
		{"repeatable", strings.Join(callStrings(s.Repeatable), ", ")},
	}
}

// Title returns the kind and the name.
func (m Model) Title() string { return "model " + m.Name }

func (m Model) fields() []field {
	layouts := make([]string, 0, len(m.Layouts))
	for _, layout := range m.Layouts {
		layouts = append(layouts, fmt.Sprintf("%d × %s", layout.Accelerators, layout.Memory.exactString()))
	}
	versions := make([]string, 0, len(m.Versions))
	for _, version := range m.Versions {
		versions = append(versions, version.Name+" from "+version.Weights)
	}
	return []field{
		{"layouts", strings.Join(layouts, ", ")},
		{"kv-space", m.KVCacheMemory.exactString()},
		{"versions", strings.Join(versions, ", ")},
		{"version", m.Version},
	}
}

// Title returns the kind and the name.
func (a Adapter) Title() string { return "adapter " + a.Name }

func (a Adapter) fields() []field {
	return []field{
		{"model", a.Model},
		{"memory", a.Memory.exactString()},
		{"weights", a.Weights},
		{"services", strings.Join(a.Services, ", ")},
	}
}

// Title returns the kind and the name.
func (p Preset) Title() string { return "preset " + p.Name }

func (p Preset) fields() []field {
	floors := make([]string, 0, len(p.Floors))
	for _, floor := range p.Floors {
		floors = append(floors, fmt.Sprintf("%s: %d in %d", floor.Model, floor.Copies, floor.FailureDomains))
	}
	shares := make([]string, 0, len(p.Shares))
	for _, share := range p.Shares {
		shares = append(shares, fmt.Sprintf("%s: %g", share.Service, share.Weight))
	}
	moveWeight := "as in settings"
	if p.WeightOfMoves >= 0 {
		moveWeight = fmt.Sprint(p.WeightOfMoves)
	}
	return []field{
		{"first", fmt.Sprint(p.Initial)},
		{"copies", fmt.Sprint(p.Copies)},
		{"floors", strings.Join(floors, ", ")},
		{"reserve-percent", fmt.Sprint(p.ReservePercent)},
		{"tolerate-engines", fmt.Sprint(p.TolerateEngines)},
		{"tolerate-failure-domains", fmt.Sprint(p.TolerateFailureDomains)},
		{"weight-of-moves", moveWeight},
		{"shares", strings.Join(shares, ", ")},
	}
}

// exactString formats b without rounding, in the largest unit that divides it,
// so that different amounts have different texts.
func (b Bytes) exactString() string {
	for _, unit := range []struct {
		size Bytes
		name string
	}{{1 << 40, "TiB"}, {1 << 30, "GiB"}, {1 << 20, "MiB"}, {1 << 10, "KiB"}} {
		if b != 0 && b%unit.size == 0 {
			return fmt.Sprintf("%d %s", b/unit.size, unit.name)
		}
	}
	return fmt.Sprintf("%d B", b)
}
