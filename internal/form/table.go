// Package form is a decoder of TOML documents with diagnostics: it returns typed
// values and collects all findings with their places.
//
// go-toml parses the document. This package walks its syntax tree instead of using
// the decoder of go-toml, which stops at the first value of a wrong type.
package form

import (
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/lovagelift/lovagelift/internal/finding"
)

// table is a table of a document. Its keys are unique, because go-toml refuses
// documents with duplicate keys.
type table struct {
	place  finding.Place
	values map[string]*value
}

// value is a value of a document.
type value struct {
	place finding.Place
	// keyPlace is the place of the key that holds the value.
	keyPlace finding.Place
	kind     unstable.Kind
	// text is the content of a string. For other scalars, it is their source text.
	text string
	// items are the elements of an array.
	items []*value
	// table is set if kind is unstable.InlineTable or unstable.Table.
	table *table
}

// parse returns the root table of the document data, with places in file. If data
// is not valid TOML, parse adds a finding and returns false.
func parse(file string, data []byte, findings *finding.List) (*table, bool) {
	// Decoding detects errors that the parser of the syntax tree does not check,
	// such as duplicate keys.
	var decoded map[string]any
	if err := toml.Unmarshal(data, &decoded); err != nil {
		addSyntaxError(file, err, findings)
		return nil, false
	}
	b := newBuilder(file, data)
	for b.parser.NextExpression() {
		b.add(b.parser.Expression())
	}
	if err := b.parser.Error(); err != nil {
		addSyntaxError(file, err, findings)
		return nil, false
	}
	return b.root, true
}

func addSyntaxError(file string, err error, findings *finding.List) {
	place := finding.Place{File: file}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		place.Line, place.Column = decodeError.Position()
	}
	findings.Add(place, "broken TOML: "+err.Error(), "")
}

// builder builds tables from the expressions of a document.
type builder struct {
	file   string
	parser unstable.Parser
	// lineOffsets holds the offset of the first byte of each line.
	lineOffsets []int
	root        *table
	// currentTable is the table of the last table header. Keys that follow it are
	// added to it.
	currentTable *table
}

func newBuilder(file string, data []byte) *builder {
	b := &builder{file: file, lineOffsets: []int{0}}
	for i, c := range data {
		if c == '\n' {
			b.lineOffsets = append(b.lineOffsets, i+1)
		}
	}
	b.root = newTable(finding.Place{File: file})
	b.currentTable = b.root
	b.parser.Reset(data)
	return b
}

func newTable(place finding.Place) *table {
	return &table{place: place, values: map[string]*value{}}
}

// place returns the place of the first byte of raw.
func (b *builder) place(raw unstable.Range) finding.Place {
	offset := int(raw.Offset)
	line := sort.SearchInts(b.lineOffsets, offset+1)
	return finding.Place{File: b.file, Line: line, Column: offset - b.lineOffsets[line-1] + 1}
}

func (b *builder) add(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		parent, last := b.descend(b.root, node.Key())
		b.currentTable = b.child(parent, last)
	case unstable.ArrayTable:
		parent, last := b.descend(b.root, node.Key())
		b.currentTable = b.appendItem(parent, last)
	case unstable.KeyValue:
		b.addKeyValue(b.currentTable, node)
	default:
	}
}

func (b *builder) addKeyValue(target *table, node *unstable.Node) {
	parent, last := b.descend(target, node.Key())
	keyPlace := b.place(last.Raw)
	v := b.value(node.Value(), keyPlace)
	v.keyPlace = keyPlace
	parent.values[string(last.Data)] = v
}

// descend follows all parts of a dotted key except the last, and creates missing
// tables. It returns the table that it reaches, and the last part.
func (b *builder) descend(parent *table, key unstable.Iterator) (*table, *unstable.Node) {
	key.Next()
	last := key.Node()
	for key.Next() {
		parent = b.child(parent, last)
		last = key.Node()
	}
	return parent, last
}

// child returns the table at key in parent, which it creates if key is absent. For
// an array of tables, that is the last element.
func (b *builder) child(parent *table, key *unstable.Node) *table {
	name := string(key.Data)
	place := b.place(key.Raw)
	existing, ok := parent.values[name]
	if !ok {
		created := newTable(place)
		parent.values[name] = &value{place: place, keyPlace: place, kind: unstable.Table, table: created}
		return created
	}
	if len(existing.items) > 0 {
		existing = existing.items[len(existing.items)-1]
	}
	if existing.table == nil {
		// Unreachable: parse refuses documents in which this value is not a table.
		existing.table = newTable(place)
	}
	return existing.table
}

// appendItem appends a table to the array of tables at key in parent, and returns
// the table. It creates the array if key is absent.
func (b *builder) appendItem(parent *table, key *unstable.Node) *table {
	name := string(key.Data)
	place := b.place(key.Raw)
	array, ok := parent.values[name]
	if !ok {
		array = &value{place: place, keyPlace: place, kind: unstable.Array}
		parent.values[name] = array
	}
	created := newTable(place)
	array.items = append(array.items, &value{place: place, keyPlace: place, kind: unstable.Table, table: created})
	return created
}

// value returns the value of node. Its place is fallback if node has no place in
// the syntax tree, as is the case for arrays.
func (b *builder) value(node *unstable.Node, fallback finding.Place) *value {
	v := &value{place: fallback, keyPlace: fallback, kind: node.Kind}
	if node.Raw.Length > 0 {
		v.place = b.place(node.Raw)
	}
	switch node.Kind {
	case unstable.Array:
		for it := node.Children(); it.Next(); {
			v.items = append(v.items, b.value(it.Node(), v.place))
		}
	case unstable.InlineTable:
		v.table = newTable(v.place)
		for it := node.Children(); it.Next(); {
			b.addKeyValue(v.table, it.Node())
		}
	default:
		v.text = string(node.Data)
	}
	return v
}
