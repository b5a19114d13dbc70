package declaration

import (
	"slices"

	"github.com/lovagelift/lovagelift/internal/finding"
)

// names are the names that are declared in one name space.
type names struct {
	first map[string]declared
}

// declared is the declaration that took a name first.
type declared struct {
	kind  string
	place finding.Place
}

func newNames() names {
	return names{first: map[string]declared{}}
}

// ofKind returns the names of declarations of one kind, sorted.
func (n names) ofKind(kind string) []string {
	found := make([]string, 0, len(n.first))
	for name, d := range n.first {
		if d.kind == kind {
			found = append(found, name)
		}
	}
	slices.Sort(found)
	return found
}
