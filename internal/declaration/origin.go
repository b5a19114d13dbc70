package declaration

import (
	"strings"

	"github.com/lovagelift/lovagelift/internal/finding"
)

// origin knows where each part of a content came from, by its path, such as
// services[3].models[1]. The zero value is the origin of canonical JSON, where
// the path itself is the place.
type origin struct {
	places map[string]finding.Place
	// failed holds the paths whose values already made a finding.
	failed map[string]bool
}

func newOrigin() origin {
	return origin{places: map[string]finding.Place{}, failed: map[string]bool{}}
}

// at returns the place of path, or of the nearest part around it.
func (o origin) at(path string) finding.Place {
	if o.places == nil {
		return finding.Place{File: path}
	}
	for {
		if place, ok := o.places[path]; ok {
			return place
		}
		end := strings.LastIndexAny(path, ".[")
		if end < 0 {
			return finding.Place{File: "declarations"}
		}
		path = path[:end]
	}
}
