package declaration

import (
	"fmt"
	"io/fs"
	"math"
	"path"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/form"
)

const (
	fileExtension = ".toml"
	maxDuration   = 24 * time.Hour
	// unsetWeightOfMoves is the WeightOfMoves of a preset without that key.
	unsetWeightOfMoves = -1
)

// Read returns the declarations in all TOML files of files, including those in
// subfolders. Declarations may be split among files in any way. In findings, the
// path of each file starts with folder. If the declarations are invalid, Read
// returns a *finding.Error with the findings of all files.
func Read(files fs.FS, folder string) (Set, error) {
	r := &folderReader{sources: newSourceMap(), findings: &finding.List{}}
	fileCount := 0
	err := fs.WalkDir(files, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || path.Ext(name) != fileExtension {
			return nil
		}
		fileCount++
		return r.readFile(files, name, path.Join(folder, name))
	})
	if err != nil {
		return Set{}, errors.Wrapf(err, "declaration: reading %s", folder)
	}
	if fileCount == 0 {
		r.findings.Add(finding.Place{File: folder}, "no "+fileExtension+" file is in the folder", "write declarations there")
		return Set{}, r.findings.Err()
	}
	if !r.incomplete {
		validate(r.content, r.sources, r.findings)
	}
	if err := r.findings.Err(); err != nil {
		return Set{}, err
	}
	return newSet(r.content), nil
}

// folderReader collects the declarations of all files.
type folderReader struct {
	content  content
	sources  sourceMap
	findings *finding.List
	// incomplete is set if a file is not valid TOML. The declarations are then
	// not validated, because their references may point into that file.
	incomplete bool
}

func (r *folderReader) readFile(files fs.FS, name, displayPath string) error {
	data, err := fs.ReadFile(files, name)
	if err != nil {
		return err
	}
	root, ok := form.Open(displayPath, data, r.findings)
	if !ok {
		r.incomplete = true
		return nil
	}
	c := &r.content
	for _, table := range root.Tables("failure-domain") {
		c.FailureDomains = append(c.FailureDomains, r.readFailureDomain(table, nextElementPath("failure-domains", c.FailureDomains)))
	}
	for _, table := range root.Tables("accelerator-class") {
		c.AcceleratorClasses = append(c.AcceleratorClasses, r.readAcceleratorClass(table, nextElementPath("accelerator-classes", c.AcceleratorClasses)))
	}
	for _, table := range root.Tables("service") {
		c.Services = append(c.Services, r.readService(table, nextElementPath("services", c.Services)))
	}
	for _, table := range root.Tables("model") {
		c.Models = append(c.Models, r.readModel(table, nextElementPath("models", c.Models)))
	}
	for _, table := range root.Tables("adapter") {
		c.Adapters = append(c.Adapters, r.readAdapter(table, nextElementPath("adapters", c.Adapters)))
	}
	for _, table := range root.Tables("preset") {
		c.Presets = append(c.Presets, r.readPreset(table, nextElementPath("presets", c.Presets)))
	}
	for _, table := range root.Tables("workspace") {
		c.Workspaces = append(c.Workspaces, r.readWorkspace(table, nextElementPath("workspaces", c.Workspaces)))
	}
	root.ReportUnknownKeys()
	return nil
}

// nextElementPath returns the path of the element that is appended to items next.
func nextElementPath[T any](listPath string, items []T) string {
	return elementPath(listPath, len(items))
}

// elementPath returns the path of an element of a list, such as services[3].
func elementPath(listPath string, index int) string {
	return fmt.Sprintf("%s[%d]", listPath, index)
}

// finishTable adds findings for the unknown keys of table, and records the places
// of keys and the keys with invalid values in the source map under path.
func (r *folderReader) finishTable(table *form.Reader, path string, keys ...string) {
	table.ReportUnknownKeys()
	r.sources.places[path] = table.Place("")
	for _, key := range keys {
		if table.Has(key) {
			r.sources.places[path+"."+key] = table.Place(key)
		}
		if !table.Valid(key) {
			r.sources.invalid[path+"."+key] = true
		}
	}
}

func (r *folderReader) readFailureDomain(table *form.Reader, path string) FailureDomain {
	d := FailureDomain{Name: table.Text("name", "")}
	r.finishTable(table, path, "name")
	return d
}

func (r *folderReader) readAcceleratorClass(table *form.Reader, path string) AcceleratorClass {
	a := AcceleratorClass{
		Name:   table.Text("name", ""),
		Memory: readSize(table, "memory"),
		Count:  readCount(table, "count", 0),
	}
	r.finishTable(table, path, "name", "memory", "count")
	return a
}

func (r *folderReader) readService(table *form.Reader, path string) Service {
	s := Service{
		Name:          table.Text("name", ""),
		Kind:          ServiceKind(table.Enum("kind", "", string(ModelBacked), string(Plain))),
		Goal:          r.readGoal(table.Table("goal"), path+".goal"),
		Models:        r.readStrings(table, path, "models"),
		NonIdempotent: table.Bool("non-idempotent", false),
		NonRepeatable: r.readCalls(table, path, "non-repeatable"),
		Repeatable:    r.readCalls(table, path, "repeatable"),
	}
	r.finishTable(table, path, "name", "kind", "goal", "models", "non-idempotent", "non-repeatable", "repeatable")
	return s
}

func (r *folderReader) readGoal(table *form.Reader, path string) Goal {
	g := Goal{
		FirstToken:    table.Duration("first-token", 0, time.Millisecond, maxDuration),
		BetweenTokens: table.Duration("between-tokens", 0, time.Millisecond, maxDuration),
		Deadline:      table.Duration("deadline", 0, time.Millisecond, maxDuration),
		Priority:      readCount(table, "priority", DefaultPriority),
	}
	r.finishTable(table, path, "first-token", "between-tokens", "deadline", "priority")
	return g
}

func (r *folderReader) readStrings(table *form.Reader, path, key string) []string {
	values := make([]string, 0)
	for i, element := range table.Texts(key) {
		r.sources.places[elementPath(path+"."+key, i)] = element.Place
		values = append(values, element.Value)
	}
	return values
}

func (r *folderReader) readCalls(table *form.Reader, path, key string) []Call {
	calls := make([]Call, 0)
	for _, element := range table.Texts(key) {
		callPath := elementPath(path+"."+key, len(calls))
		r.sources.places[callPath] = element.Place
		method, pattern, _ := strings.Cut(element.Value, " ")
		calls = append(calls, Call{Method: method, Path: pattern})
	}
	return calls
}

func (r *folderReader) readModel(table *form.Reader, path string) Model {
	m := Model{
		Name:          table.Text("name", ""),
		KVCacheMemory: readSize(table, "kv-space"),
		Version:       table.Text("version", ""),
	}
	for i, layout := range table.Tables("layouts") {
		m.Layouts = append(m.Layouts, Layout{
			Accelerators: readCount(layout, "accelerators", 0),
			Memory:       readSize(layout, "memory"),
		})
		r.finishTable(layout, elementPath(path+".layouts", i), "accelerators", "memory")
	}
	for i, version := range table.Tables("versions") {
		m.Versions = append(m.Versions, Version{
			Name:    version.Text("name", ""),
			Weights: version.Text("weights", ""),
		})
		r.finishTable(version, elementPath(path+".versions", i), "name", "weights")
	}
	r.finishTable(table, path, "name", "kv-space", "version", "layouts", "versions")
	return m
}

func (r *folderReader) readAdapter(table *form.Reader, path string) Adapter {
	a := Adapter{
		Name:     table.Text("name", ""),
		Model:    table.Text("model", ""),
		Memory:   readSize(table, "memory"),
		Weights:  table.Text("weights", ""),
		Services: r.readStrings(table, path, "services"),
	}
	r.finishTable(table, path, "name", "model", "memory", "weights", "services")
	return a
}

func (r *folderReader) readPreset(table *form.Reader, path string) Preset {
	p := Preset{
		Name:                   table.Text("name", ""),
		Initial:                table.Bool("first", false),
		Copies:                 readCount(table, "copies", 1),
		ReservePercent:         readCount(table, "reserve-percent", 0),
		TolerateEngines:        readCount(table, "tolerate-engines", 1),
		TolerateFailureDomains: readCount(table, "tolerate-failure-domains", 0),
		WeightOfMoves:          table.Float("weight-of-moves", unsetWeightOfMoves, 0, maxWeight),
	}
	for i, floor := range table.Tables("floors") {
		p.Floors = append(p.Floors, Floor{
			Model:          floor.Text("model", ""),
			Copies:         readCount(floor, "copies", 1),
			FailureDomains: readCount(floor, "failure-domains", 1),
		})
		r.finishTable(floor, elementPath(path+".floors", i), "model", "copies", "failure-domains")
	}
	for i, share := range table.Tables("shares") {
		p.Shares = append(p.Shares, Share{
			Service: share.Text("service", ""),
			Weight:  share.Float("weight", 0, -maxWeight, maxWeight),
		})
		r.finishTable(share, elementPath(path+".shares", i), "service", "weight")
	}
	r.finishTable(table, path, "name", "first", "copies", "reserve-percent", "tolerate-engines",
		"tolerate-failure-domains", "weight-of-moves", "floors", "shares")
	return p
}

// readSize reads a size without a lower bound: validate checks the bounds, for
// TOML and canonical JSON alike.
func readSize(table *form.Reader, key string) Bytes {
	return Bytes(table.Size(key, 0, math.MinInt64))
}

// readCount reads an integer without bounds: validate checks them, for TOML and
// canonical JSON alike.
func readCount(table *form.Reader, key string, fallback int) int {
	return table.Int(key, fallback, math.MinInt, math.MaxInt)
}
