package declaration

import (
	"strings"

	"github.com/lovagelift/lovagelift/internal/finding"
)

// sourceMap maps the path of each element of a content, such as
// services[3].models[1], to its place in the TOML files. The zero value is for
// canonical JSON, where the path itself is the place.
type sourceMap struct {
	places map[string]finding.Place
	// invalid holds the paths of values that already have a finding.
	invalid map[string]bool
}

func newSourceMap() sourceMap {
	return sourceMap{places: map[string]finding.Place{}, invalid: map[string]bool{}}
}

// placeOf returns the place of path, or that of the innermost enclosing element
// with a known place.
func (m sourceMap) placeOf(path string) finding.Place {
	if m.places == nil {
		return finding.Place{File: path}
	}
	for {
		if place, ok := m.places[path]; ok {
			return place
		}
		end := strings.LastIndexAny(path, ".[")
		if end < 0 {
			return finding.Place{File: "declarations"}
		}
		path = path[:end]
	}
}
