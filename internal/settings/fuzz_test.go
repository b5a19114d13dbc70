package settings_test

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/settings"
)

func itoa(n int) string { return strconv.Itoa(n) }

// FuzzParse checks that Parse never panics, and that any input gives either
// settings or findings with a place in the file.
func FuzzParse(f *testing.F) {
	paths, err := filepath.Glob("../../examples/three/*.toml")
	if err != nil || len(paths) == 0 {
		f.Fatalf("no example settings found: %v", err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("x.toml", data)
		if err == nil {
			if s.Name == "" || s.FailureDomain == "" || s.Timing.UpstreamLease <= s.Timing.UpstreamRenewal {
				t.Fatalf("Parse accepted invalid settings: %+v", s)
			}
			return
		}
		var found *finding.Error
		if !errors.As(err, &found) || len(found.Findings) == 0 {
			t.Fatalf("error without findings: %v", err)
		}
		for _, item := range found.Findings {
			if item.Place.File != "x.toml" || item.Problem == "" || item.Place.Line < 0 {
				t.Fatalf("finding without a place: %+v", item)
			}
		}
	})
}
