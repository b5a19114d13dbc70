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
	extension = ".toml"
	maxTime   = 24 * time.Hour
	// notDeclared is the WeightOfMoves of a preset that names none.
	notDeclared = -1
)

// Read returns the declarations in all TOML files of folder and the folders
// below it. Files may be split freely, and folder is what findings call it. If
// the declarations are wrong, Read returns a *finding.Error with every finding
// over all files.
func Read(files fs.FS, folder string) (Set, error) {
	r := &reader{origin: newOrigin(), list: &finding.List{}}
	found := 0
	err := fs.WalkDir(files, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || path.Ext(name) != extension {
			return nil
		}
		found++
		return r.file(files, name, path.Join(folder, name))
	})
	if err != nil {
		return Set{}, errors.Wrapf(err, "declaration: reading %s", folder)
	}
	if found == 0 {
		r.list.Add(finding.Place{File: folder}, "no "+extension+" file is in the folder", "write declarations there")
		return Set{}, r.list.Err()
	}
	if !r.broken {
		validate(r.content, r.origin, r.list)
	}
	if err := r.list.Err(); err != nil {
		return Set{}, err
	}
	return newSet(r.content), nil
}

// reader gathers the declarations of all files.
type reader struct {
	content content
	origin  origin
	list    *finding.List
	// broken tells that a file could not be read at all. What the others refer
	// to may be in it.
	broken bool
}

func (r *reader) file(files fs.FS, name, shown string) error {
	data, err := fs.ReadFile(files, name)
	if err != nil {
		return err
	}
	root, ok := form.Open(shown, data, r.list)
	if !ok {
		r.broken = true
		return nil
	}
	c := &r.content
	for _, t := range root.Tables("failure-domain") {
		c.FailureDomains = append(c.FailureDomains, r.failureDomain(t, next("failure-domains", c.FailureDomains)))
	}
	for _, t := range root.Tables("accelerator-class") {
		c.AcceleratorClasses = append(c.AcceleratorClasses, r.acceleratorClass(t, next("accelerator-classes", c.AcceleratorClasses)))
	}
	for _, t := range root.Tables("service") {
		c.Services = append(c.Services, r.service(t, next("services", c.Services)))
	}
	for _, t := range root.Tables("model") {
		c.Models = append(c.Models, r.model(t, next("models", c.Models)))
	}
	for _, t := range root.Tables("adapter") {
		c.Adapters = append(c.Adapters, r.adapter(t, next("adapters", c.Adapters)))
	}
	for _, t := range root.Tables("preset") {
		c.Presets = append(c.Presets, r.preset(t, next("presets", c.Presets)))
	}
	root.Done()
	return nil
}

// next returns the path of the item that follows items.
func next[T any](list string, items []T) string {
	return item(list, len(items))
}

func item(list string, index int) string {
	return fmt.Sprintf("%s[%d]", list, index)
}

// done reports the unknown keys of t and remembers the places of the given keys
// under path.
func (r *reader) done(t *form.Reader, path string, keys ...string) {
	t.Done()
	r.origin.places[path] = t.Place("")
	for _, key := range keys {
		if t.Has(key) {
			r.origin.places[path+"."+key] = t.Place(key)
		}
		if !t.Good(key) {
			r.origin.failed[path+"."+key] = true
		}
	}
}

func (r *reader) failureDomain(t *form.Reader, path string) FailureDomain {
	d := FailureDomain{Name: t.Text("name", "")}
	r.done(t, path, "name")
	return d
}

func (r *reader) acceleratorClass(t *form.Reader, path string) AcceleratorClass {
	a := AcceleratorClass{
		Name:   t.Text("name", ""),
		Memory: size(t, "memory"),
		Count:  count(t, "count", 0),
	}
	r.done(t, path, "name", "memory", "count")
	return a
}

func (r *reader) service(t *form.Reader, path string) Service {
	s := Service{
		Name:          t.Text("name", ""),
		Kind:          ServiceKind(t.Choice("kind", "", string(ModelBacked), string(Plain))),
		Goal:          r.goal(t.Table("goal"), path+".goal"),
		Models:        r.texts(t, path, "models"),
		NonIdempotent: t.Flag("non-idempotent", false),
		NonRepeatable: r.calls(t, path, "non-repeatable"),
		Repeatable:    r.calls(t, path, "repeatable"),
	}
	r.done(t, path, "name", "kind", "goal", "models", "non-idempotent", "non-repeatable", "repeatable")
	return s
}

func (r *reader) goal(t *form.Reader, path string) Goal {
	g := Goal{
		FirstToken:    t.Duration("first-token", 0, time.Millisecond, maxTime),
		BetweenTokens: t.Duration("between-tokens", 0, time.Millisecond, maxTime),
		Deadline:      t.Duration("deadline", 0, time.Millisecond, maxTime),
		Priority:      count(t, "priority", DefaultPriority),
	}
	r.done(t, path, "first-token", "between-tokens", "deadline", "priority")
	return g
}

func (r *reader) texts(t *form.Reader, path, key string) []string {
	texts := make([]string, 0)
	for i, text := range t.Texts(key) {
		r.origin.places[item(path+"."+key, i)] = text.Place
		texts = append(texts, text.Value)
	}
	return texts
}

func (r *reader) calls(t *form.Reader, path, key string) []Call {
	calls := make([]Call, 0)
	for _, text := range t.Texts(key) {
		where := item(path+"."+key, len(calls))
		r.origin.places[where] = text.Place
		method, pattern, _ := strings.Cut(text.Value, " ")
		calls = append(calls, Call{Method: method, Path: pattern})
	}
	return calls
}

func (r *reader) model(t *form.Reader, path string) Model {
	m := Model{
		Name:    t.Text("name", ""),
		KVSpace: size(t, "kv-space"),
		Version: t.Text("version", ""),
	}
	for i, layout := range t.Tables("layouts") {
		m.Layouts = append(m.Layouts, Layout{
			Accelerators: count(layout, "accelerators", 0),
			Memory:       size(layout, "memory"),
		})
		r.done(layout, item(path+".layouts", i), "accelerators", "memory")
	}
	for i, version := range t.Tables("versions") {
		m.Versions = append(m.Versions, Version{
			Name:    version.Text("name", ""),
			Weights: version.Text("weights", ""),
		})
		r.done(version, item(path+".versions", i), "name", "weights")
	}
	r.done(t, path, "name", "kv-space", "version", "layouts", "versions")
	return m
}

func (r *reader) adapter(t *form.Reader, path string) Adapter {
	a := Adapter{
		Name:     t.Text("name", ""),
		Model:    t.Text("model", ""),
		Memory:   size(t, "memory"),
		Weights:  t.Text("weights", ""),
		Services: r.texts(t, path, "services"),
	}
	r.done(t, path, "name", "model", "memory", "weights", "services")
	return a
}

func (r *reader) preset(t *form.Reader, path string) Preset {
	p := Preset{
		Name:                   t.Text("name", ""),
		First:                  t.Flag("first", false),
		Copies:                 count(t, "copies", 1),
		ReservePercent:         count(t, "reserve-percent", 0),
		TolerateEngines:        count(t, "tolerate-engines", 1),
		TolerateFailureDomains: count(t, "tolerate-failure-domains", 0),
		WeightOfMoves:          t.Number("weight-of-moves", notDeclared, 0, maxWeight),
	}
	for i, floor := range t.Tables("floors") {
		p.Floors = append(p.Floors, Floor{
			Model:          floor.Text("model", ""),
			Copies:         count(floor, "copies", 1),
			FailureDomains: count(floor, "failure-domains", 1),
		})
		r.done(floor, item(path+".floors", i), "model", "copies", "failure-domains")
	}
	for i, share := range t.Tables("shares") {
		p.Shares = append(p.Shares, Share{
			Service: share.Text("service", ""),
			Weight:  share.Number("weight", 0, -maxWeight, maxWeight),
		})
		r.done(share, item(path+".shares", i), "service", "weight")
	}
	r.done(t, path, "name", "first", "copies", "reserve-percent", "tolerate-engines",
		"tolerate-failure-domains", "weight-of-moves", "floors", "shares")
	return p
}

// size reads a size of any sign: validate bounds it for all encodings.
func size(t *form.Reader, key string) Bytes {
	return Bytes(t.Size(key, 0, math.MinInt64))
}

// count reads a whole number of any size: validate bounds it for all encodings.
func count(t *form.Reader, key string, fallback int) int {
	return t.Count(key, fallback, math.MinInt, math.MaxInt)
}
