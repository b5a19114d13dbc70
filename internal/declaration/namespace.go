package declaration

import (
	"slices"

	"github.com/lovagelift/lovagelift/internal/finding"
)

// namespace holds the declarations that share a set of unique names.
type namespace struct {
	owners map[string]nameOwner
}

// nameOwner is the first declaration that uses a name.
type nameOwner struct {
	kind  string
	place finding.Place
}

func newNamespace() namespace {
	return namespace{owners: map[string]nameOwner{}}
}

// namesOfKind returns the sorted names of all declarations of one kind.
func (n namespace) namesOfKind(kind string) []string {
	matching := make([]string, 0, len(n.owners))
	for name, owner := range n.owners {
		if owner.kind == kind {
			matching = append(matching, name)
		}
	}
	slices.Sort(matching)
	return matching
}
