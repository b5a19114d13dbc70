package declaration_test

import (
	"bytes"
	"testing"
	"testing/fstest"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/finding"
)

// FuzzRead shows that any bytes give declarations that come back from their
// canonical encoding, or findings with a place, and never a panic.
func FuzzRead(f *testing.F) {
	f.Add([]byte(whole))
	f.Fuzz(func(t *testing.T, data []byte) {
		files := fstest.MapFS{"a.toml": {Data: data}}
		set, err := declaration.Read(files, "decl")
		if err == nil {
			requireRoundTrip(t, set)
			return
		}
		var found *finding.Error
		if !errors.As(err, &found) || len(found.Findings) == 0 {
			t.Fatalf("an error without findings: %v", err)
		}
		for _, one := range found.Findings {
			if one.Place.File == "" || one.Problem == "" || one.Place.Line < 0 {
				t.Fatalf("a finding without a place: %+v", one)
			}
		}
	})
}

// FuzzDecode shows that whatever is accepted as canonical is canonical.
func FuzzDecode(f *testing.F) {
	set, err := declaration.Read(fstest.MapFS{"a.toml": {Data: []byte(whole)}}, "decl")
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
			t.Fatalf("accepted %q, which is not canonical", data)
		}
		if len(declaration.Diff(set, set)) > 0 {
			t.Fatal("declarations differ from themselves")
		}
	})
}

func requireRoundTrip(t *testing.T, set declaration.Set) {
	t.Helper()
	decoded, err := declaration.Decode(set.Canonical())
	if err != nil {
		t.Fatalf("read, but not accepted as canonical: %v", err)
	}
	if len(declaration.Diff(set, decoded)) > 0 {
		t.Fatal("changed on the way through the canonical encoding")
	}
}
