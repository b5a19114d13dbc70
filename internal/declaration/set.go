package declaration

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/finding"
)

// format numbers the canonical encoding. An instance refuses declarations of
// another format before they are accepted, so that an instance that is not yet
// upgraded never drops a part of them without a word.
const format = 1

// content is the canonical encoding. Each list is sorted by name.
type content struct {
	Format             int                `json:"format"`
	FailureDomains     []FailureDomain    `json:"failure-domains"`
	AcceleratorClasses []AcceleratorClass `json:"accelerator-classes"`
	Services           []Service          `json:"services"`
	Models             []Model            `json:"models"`
	Adapters           []Adapter          `json:"adapters"`
	Presets            []Preset           `json:"presets"`
}

// Set is declarations that fit together. It is immutable and safe for
// concurrent use; what its methods return must not be changed. The zero value
// declares nothing.
type Set struct {
	content  content
	services map[string]int
	models   map[string]int
	adapters map[string]int
	presets  map[string]int
	// users holds the first service that uses each model or adapter.
	users map[string]int
}

func newSet(c content) Set {
	c.Format = format
	c.sort()
	s := Set{
		content:  c,
		services: map[string]int{},
		models:   map[string]int{},
		adapters: map[string]int{},
		presets:  map[string]int{},
		users:    map[string]int{},
	}
	for i, service := range c.Services {
		s.services[service.Name] = i
		for _, model := range service.Models {
			if _, used := s.users[model]; !used {
				s.users[model] = i
			}
		}
	}
	for i := range c.Models {
		s.models[c.Models[i].Name] = i
	}
	for i, adapter := range c.Adapters {
		s.adapters[adapter.Name] = i
		if len(adapter.Services) > 0 {
			s.users[adapter.Name] = s.services[adapter.Services[0]]
		}
	}
	for i := range c.Presets {
		s.presets[c.Presets[i].Name] = i
	}
	return s
}

// FailureDomains returns the failure domains, sorted by name.
func (s Set) FailureDomains() []FailureDomain { return slices.Clone(s.content.FailureDomains) }

// AcceleratorClasses returns the accelerator classes, sorted by name.
func (s Set) AcceleratorClasses() []AcceleratorClass {
	return slices.Clone(s.content.AcceleratorClasses)
}

// Services returns the services, sorted by name.
func (s Set) Services() []Service { return slices.Clone(s.content.Services) }

// Models returns the models, sorted by name.
func (s Set) Models() []Model { return slices.Clone(s.content.Models) }

// Adapters returns the adapters, sorted by name.
func (s Set) Adapters() []Adapter { return slices.Clone(s.content.Adapters) }

// Presets returns the presets, sorted by name.
func (s Set) Presets() []Preset { return slices.Clone(s.content.Presets) }

// Service returns the service called name, if there is one.
func (s Set) Service(name string) (Service, bool) {
	return find(s.content.Services, s.services, name)
}

// ServiceOf returns the first service, by name, that uses the model or adapter
// called target, if there is one.
func (s Set) ServiceOf(target string) (Service, bool) {
	return find(s.content.Services, s.users, target)
}

// Model returns the model called name, if there is one.
func (s Set) Model(name string) (Model, bool) {
	return find(s.content.Models, s.models, name)
}

// Adapter returns the adapter called name, if there is one. No model has the
// name of an adapter.
func (s Set) Adapter(name string) (Adapter, bool) {
	return find(s.content.Adapters, s.adapters, name)
}

// Preset returns the preset called name, if there is one.
func (s Set) Preset(name string) (Preset, bool) {
	return find(s.content.Presets, s.presets, name)
}

// FirstPreset returns the preset that is in force when there is none yet. It is
// empty only for the zero Set.
func (s Set) FirstPreset() Preset {
	for _, preset := range s.content.Presets {
		if preset.First {
			return preset
		}
	}
	return Preset{}
}

// PresetNames returns the names of the presets, FirstPreset's first and the
// others sorted.
func (s Set) PresetNames() []string {
	names := make([]string, 0, len(s.content.Presets))
	for _, preset := range s.content.Presets {
		if preset.First {
			names = slices.Insert(names, 0, preset.Name)
			continue
		}
		names = append(names, preset.Name)
	}
	return names
}

func find[T any](items []T, index map[string]int, name string) (T, bool) {
	i, ok := index[name]
	if !ok {
		var none T
		return none, false
	}
	return items[i], true
}

// Canonical returns the declarations as JSON. Equal declarations give equal
// bytes, however they were split into files.
func (s Set) Canonical() []byte {
	c := s.content
	c.Format = format
	c.sort()
	// Encoding fails for no value of these types: all numbers are finite.
	data, err := json.Marshal(c)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "declaration: encoding"))
	}
	return data
}

// Decode returns the declarations that data holds in the encoding of Canonical.
// If they are wrong, Decode returns a *finding.Error, in which the place of a
// finding is a path such as services[3].models. If data is not what Canonical
// returns for them, Decode returns an error too, so that equal revisions have
// equal bytes.
func Decode(data []byte) (Set, error) {
	var list finding.List
	c, err := decodeContent(data)
	if err != nil {
		return Set{}, err
	}
	validate(c, origin{}, &list)
	if err := list.Err(); err != nil {
		return Set{}, err
	}
	s := newSet(c)
	if !bytes.Equal(s.Canonical(), data) {
		return Set{}, errors.New("declaration: not in the canonical encoding; take it from Canonical")
	}
	return s, nil
}

// Check returns the PresetNames of the declarations that data holds, or the
// error of Decode. It depends on data alone.
func Check(data []byte) ([]string, error) {
	set, err := Decode(data)
	if err != nil {
		return nil, err
	}
	return set.PresetNames(), nil
}

func decodeContent(data []byte) (content, error) {
	var version struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &version); err != nil {
		return content{}, errors.Wrap(err, "declaration: broken JSON")
	}
	if version.Format != format {
		return content{}, errors.Newf("declaration: format %d, but this version knows only %d; upgrade all instances first",
			version.Format, format)
	}
	var c content
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return content{}, errors.Wrap(err, "declaration: broken JSON")
	}
	return c, nil
}

// sort brings every list into the order of the canonical encoding and makes
// absent lists empty.
func (c *content) sort() {
	c.FailureDomains = sorted(c.FailureDomains, func(d FailureDomain) string { return d.Name })
	c.AcceleratorClasses = sorted(c.AcceleratorClasses, func(a AcceleratorClass) string { return a.Name })
	c.Services = sorted(c.Services, func(s Service) string { return s.Name })
	for i := range c.Services {
		s := &c.Services[i]
		s.Models = sorted(s.Models, itself)
		s.NonRepeatable = sorted(s.NonRepeatable, Call.String)
		s.Repeatable = sorted(s.Repeatable, Call.String)
	}
	c.Models = sorted(c.Models, func(m Model) string { return m.Name })
	for i := range c.Models {
		m := &c.Models[i]
		m.Layouts = slices.Clone(m.Layouts)
		slices.SortFunc(m.Layouts, func(a, b Layout) int { return a.Accelerators - b.Accelerators })
		m.Versions = sorted(m.Versions, func(v Version) string { return v.Name })
	}
	c.Adapters = sorted(c.Adapters, func(a Adapter) string { return a.Name })
	for i := range c.Adapters {
		c.Adapters[i].Services = sorted(c.Adapters[i].Services, itself)
	}
	c.Presets = sorted(c.Presets, func(p Preset) string { return p.Name })
	for i := range c.Presets {
		p := &c.Presets[i]
		p.Floors = sorted(p.Floors, func(f Floor) string { return f.Model })
		p.Shares = sorted(p.Shares, func(s Share) string { return s.Service })
	}
}

// sorted returns a sorted copy, so that sorting one Set leaves others alone.
func sorted[T any](items []T, key func(T) string) []T {
	copied := make([]T, len(items))
	copy(copied, items)
	slices.SortStableFunc(copied, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	return copied
}

func itself(s string) string { return s }
