package form

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/lovagelift/lovagelift/internal/finding"
)

// Reader decodes the keys of one table. Each method that returns the value of a key
// marks the key as known. ReportUnknownKeys adds findings for the unknown keys of the table.
//
// A Reader is not safe for concurrent use.
type Reader struct {
	// table is not nil. It is empty if the document does not contain the table.
	table *table
	// name is the name of the table in findings. It is empty for the root table.
	name      string
	knownKeys []string
	// invalid holds the keys whose values have findings.
	invalid  map[string]bool
	findings *finding.List
}

// Text is a string in a document, with its place.
type Text struct {
	Value string
	Place finding.Place
}

// Open returns a Reader for the root table of the TOML document data. The Reader
// adds its findings to findings, with places in file.
//
// If data is not valid TOML, Open adds a finding and returns false.
func Open(file string, data []byte, findings *finding.List) (*Reader, bool) {
	root, ok := parse(file, data, findings)
	if !ok {
		return nil, false
	}
	return &Reader{table: root, invalid: map[string]bool{}, findings: findings}, true
}

// Has reports whether the table contains key.
func (r *Reader) Has(key string) bool {
	_, ok := r.table.values[key]
	return ok
}

// Place returns the place of the value of key, or that of the table if it does not
// contain key.
func (r *Reader) Place(key string) finding.Place {
	if v, ok := r.table.values[key]; ok {
		return v.place
	}
	return r.table.place
}

// Valid reports whether none of keys has an invalid value. Callers must check this
// before they check combinations of values, because an invalid value has been
// replaced by its fallback.
func (r *Reader) Valid(keys ...string) bool {
	for _, key := range keys {
		if r.invalid[key] {
			return false
		}
	}
	return true
}

// Add adds a finding at the place of key.
func (r *Reader) Add(key, problem, advice string) {
	r.findings.Add(r.Place(key), problem, advice)
}

// Require adds a finding if the table does not contain key. The advice shows
// example, in TOML syntax, as the value.
func (r *Reader) Require(key, example string) {
	if r.Has(key) {
		return
	}
	r.findings.Add(r.table.place, fmt.Sprintf("key %q is missing%s", key, r.location()), fmt.Sprintf("write %s = %s", key, example))
}

// Table returns a Reader for the table at key. If key is absent or not a table,
// the Reader is for an empty table.
func (r *Reader) Table(key string) *Reader {
	v := r.lookup(key)
	if v == nil {
		return r.child(newTable(r.table.place), key)
	}
	if v.table == nil {
		r.addWrongType(key, v, "a table", "["+key+"]")
		return r.child(newTable(v.place), key)
	}
	return r.child(v.table, key)
}

// Tables returns a Reader for each table of the array at key. There are none if key
// is absent or not an array.
func (r *Reader) Tables(key string) []*Reader {
	v := r.lookup(key)
	if v == nil {
		return nil
	}
	if v.kind != unstable.Array {
		r.addWrongType(key, v, "an array of tables", "[["+key+"]]")
		return nil
	}
	readers := make([]*Reader, 0, len(v.items))
	for _, item := range v.items {
		if item.table == nil {
			r.addWrongType(key, item, "a table", "[["+key+"]]")
			continue
		}
		readers = append(readers, r.child(item.table, key))
	}
	return readers
}

// ReportUnknownKeys adds a finding for each unknown key of the table. The advice is the most
// similar known key or, if none is similar, a list of the known keys.
func (r *Reader) ReportUnknownKeys() {
	unknown := make([]string, 0)
	for key := range r.table.values {
		if !r.isKnown(key) {
			unknown = append(unknown, key)
		}
	}
	sort.Strings(unknown)
	for _, key := range unknown {
		r.findings.Add(r.table.values[key].keyPlace, fmt.Sprintf("unknown key %q%s", key, r.location()), r.unknownKeyAdvice(key))
	}
}

func (r *Reader) unknownKeyAdvice(key string) string {
	if nearest, ok := Nearest(key, r.knownKeys); ok {
		return fmt.Sprintf("write %q", nearest)
	}
	sortedKeys := append([]string(nil), r.knownKeys...)
	sort.Strings(sortedKeys)
	return "the keys here are " + strings.Join(sortedKeys, ", ")
}

func (r *Reader) child(t *table, key string) *Reader {
	return &Reader{table: t, name: key, invalid: map[string]bool{}, findings: r.findings}
}

// location returns the table's name as the end of a problem text.
func (r *Reader) location() string {
	if r.name == "" {
		return ""
	}
	return " in " + r.name
}

func (r *Reader) isKnown(key string) bool {
	for _, known := range r.knownKeys {
		if known == key {
			return true
		}
	}
	return false
}

// lookup marks key as known and returns its value, or nil if it is absent.
func (r *Reader) lookup(key string) *value {
	if !r.isKnown(key) {
		r.knownKeys = append(r.knownKeys, key)
	}
	return r.table.values[key]
}

// addWrongType adds a finding for a value of a wrong type. want names the expected
// type, and example is a valid value or header.
func (r *Reader) addWrongType(key string, v *value, want, example string) {
	r.invalid[key] = true
	r.findings.Add(v.place, fmt.Sprintf("%q must be %s, not %s", key, want, kindName(v.kind)), "write for example "+example)
}

func (r *Reader) addInvalidValue(key string, v *value, problem, example string) {
	r.invalid[key] = true
	r.findings.Add(v.place, fmt.Sprintf("%q %s", key, problem), "write for example "+example)
}

// kindName returns the name of a TOML type in findings.
func kindName(kind unstable.Kind) string {
	switch kind {
	case unstable.String:
		return "a text"
	case unstable.Bool:
		return "true or false"
	case unstable.Integer:
		return "a whole number"
	case unstable.Float:
		return "a number with a point"
	case unstable.Array:
		return "an array"
	case unstable.Table, unstable.InlineTable:
		return "a table"
	default:
		return "a date or time"
	}
}
