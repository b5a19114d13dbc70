package form

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/lovagelift/lovagelift/internal/finding"
)

// Reader reads the keys of one table. Each method that reads a key makes the
// key known; Done reports the keys of the table that are not known.
//
// A Reader is not safe for concurrent use.
type Reader struct {
	// table is not nil. It is empty if the document does not have it.
	table *table
	// name is how findings call the table, empty for the root.
	name     string
	readKeys []string
	// failed holds the keys whose values made a finding.
	invalid  map[string]bool
	findings *finding.List
}

// Text is a text of a document, with its place.
type Text struct {
	Value string
	Place finding.Place
}

// Open returns a Reader of the root table of the TOML document data. The places
// of all findings name file; the findings go to list.
//
// If data is not TOML, Open adds a finding and returns false.
func Open(file string, data []byte, findings *finding.List) (*Reader, bool) {
	root, ok := parse(file, data, findings)
	if !ok {
		return nil, false
	}
	return &Reader{table: root, invalid: map[string]bool{}, findings: findings}, true
}

// Has tells whether the table holds key.
func (r *Reader) Has(key string) bool {
	_, ok := r.table.values[key]
	return ok
}

// Place returns the place of the value of key. If the table does not hold key,
// Place returns the place of the table.
func (r *Reader) Place(key string) finding.Place {
	if v, ok := r.table.values[key]; ok {
		return v.place
	}
	return r.table.place
}

// Valid tells whether none of keys made a finding when it was read. What keys say
// together is judged only then, since a bad value was replaced by its fallback.
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

// Require adds a finding if the table does not hold key. The advice is an
// example of the line that is missing.
func (r *Reader) Require(key, example string) {
	if r.Has(key) {
		return
	}
	r.findings.Add(r.table.place, fmt.Sprintf("key %q is missing%s", key, r.location()), fmt.Sprintf("write %s = %s", key, example))
}

// Table returns a Reader of the table under key, which is empty if there is
// none.
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

// Tables returns Readers of the tables in the array under key, none if there is
// no such array.
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

// Done adds a finding for each key of the table that no method has read, with
// the nearest key that one has.
func (r *Reader) Done() {
	unknown := make([]string, 0)
	for key := range r.table.values {
		if !r.isRead(key) {
			unknown = append(unknown, key)
		}
	}
	sort.Strings(unknown)
	for _, key := range unknown {
		r.findings.Add(r.table.values[key].keyPlace, fmt.Sprintf("unknown key %q%s", key, r.location()), r.unknownKeyAdvice(key))
	}
}

func (r *Reader) unknownKeyAdvice(key string) string {
	if nearest, ok := Nearest(key, r.readKeys); ok {
		return fmt.Sprintf("write %q", nearest)
	}
	sortedKeys := append([]string(nil), r.readKeys...)
	sort.Strings(sortedKeys)
	return "the keys here are " + strings.Join(sortedKeys, ", ")
}

func (r *Reader) child(t *table, key string) *Reader {
	return &Reader{table: t, name: key, invalid: map[string]bool{}, findings: r.findings}
}

func (r *Reader) location() string {
	if r.name == "" {
		return ""
	}
	return " in " + r.name
}

func (r *Reader) isRead(key string) bool {
	for _, read := range r.readKeys {
		if read == key {
			return true
		}
	}
	return false
}

// take makes key known and returns its value, or nil.
func (r *Reader) lookup(key string) *value {
	if !r.isRead(key) {
		r.readKeys = append(r.readKeys, key)
	}
	return r.table.values[key]
}

func (r *Reader) addWrongType(key string, v *value, want, example string) {
	r.invalid[key] = true
	r.findings.Add(v.place, fmt.Sprintf("%q must be %s, not %s", key, want, kindName(v.kind)), "write for example "+example)
}

func (r *Reader) addInvalidValue(key string, v *value, problem, example string) {
	r.invalid[key] = true
	r.findings.Add(v.place, fmt.Sprintf("%q %s", key, problem), "write for example "+example)
}

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
