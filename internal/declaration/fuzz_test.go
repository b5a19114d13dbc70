package declaration_test

import (
	"bytes"
	"testing"
	"testing/fstest"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/finding"
)

// FuzzRead checks that Read never panics, and that any file gives either
// findings with a place or declarations that survive a round trip through their
// canonical encoding.
func FuzzRead(f *testing.F) {
	f.Add([]byte(validDeclarations))
	f.Fuzz(func(t *testing.T, data []byte) {
		files := fstest.MapFS{"a.toml": {Data: data}}
		set, err := declaration.Read(files, "decl")
		if err == nil {
			requireRoundTrip(t, set)
			return
		}
		var found *finding.Error
		if !errors.As(err, &found) || len(found.Findings) == 0 {
			t.Fatalf("error without findings: %v", err)
		}
		for _, item := range found.Findings {
			if item.Place.File == "" || item.Problem == "" || item.Place.Line < 0 {
				t.Fatalf("finding without a place: %+v", item)
			}
		}
	})
}

// FuzzDecode checks that Decode accepts only canonical encodings.
func FuzzDecode(f *testing.F) {
	set, err := declaration.Read(fstest.MapFS{"a.toml": {Data: []byte(validDeclarations)}}, "decl")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(set.Canonical())
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := declaration.Decode(data)
		if err != nil {
			return
		}
		if !bytes.Equal(set.Canonical(), data) {
			t.Fatalf("Decode accepted %q, which is not canonical", data)
		}
		if len(declaration.Diff(set, set)) > 0 {
			t.Fatal("Diff found changes between equal declarations")
		}
	})
}

func requireRoundTrip(t *testing.T, set declaration.Set) {
	t.Helper()
	decoded, err := declaration.Decode(set.Canonical())
	if err != nil {
		t.Fatalf("Decode refused the canonical encoding of valid declarations: %v", err)
	}
	if len(declaration.Diff(set, decoded)) > 0 {
		t.Fatal("the round trip through the canonical encoding changed the declarations")
	}
}
