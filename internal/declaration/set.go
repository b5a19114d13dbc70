package declaration

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/finding"
)

// formatVersion is the version of the canonical encoding. An instance refuses
// declarations of another version before they are accepted, so that an instance
// that is not yet upgraded never silently drops fields that it does not know.
const formatVersion = 1

// content is the structure of the canonical encoding. Each list is sorted by
// name. The name of the type is part of the error text of encoding/json for a
// value of a wrong type.
type content struct {
	Format             int                `json:"format"`
	FailureDomains     []FailureDomain    `json:"failure-domains"`
	AcceleratorClasses []AcceleratorClass `json:"accelerator-classes"`
	Services           []Service          `json:"services"`
	Models             []Model            `json:"models"`
	Adapters           []Adapter          `json:"adapters"`
	Presets            []Preset           `json:"presets"`
	// Workspaces is left out if it is empty, so that instances that don't know workspaces accept
	// declarations without them.
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// Set is a valid set of declarations. It is immutable and safe for concurrent
// use; callers must not modify the values that its methods return. The zero value
// declares nothing.
type Set struct {
	content      content
	serviceIndex map[string]int
	modelIndex   map[string]int
	adapterIndex map[string]int
	presetIndex  map[string]int
	// targetServiceIndex maps each model and adapter to the first service that
	// uses it.
	targetServiceIndex map[string]int
}

func newSet(c content) Set {
	c.Format = formatVersion
	c.normalize()
	s := Set{
		content:            c,
		serviceIndex:       map[string]int{},
		modelIndex:         map[string]int{},
		adapterIndex:       map[string]int{},
		presetIndex:        map[string]int{},
		targetServiceIndex: map[string]int{},
	}
	for i, service := range c.Services {
		s.serviceIndex[service.Name] = i
		for _, model := range service.Models {
			if _, used := s.targetServiceIndex[model]; !used {
				s.targetServiceIndex[model] = i
			}
		}
	}
	for i := range c.Models {
		s.modelIndex[c.Models[i].Name] = i
	}
	for i, adapter := range c.Adapters {
		s.adapterIndex[adapter.Name] = i
		if len(adapter.Services) > 0 {
			s.targetServiceIndex[adapter.Name] = s.serviceIndex[adapter.Services[0]]
		}
	}
	for i := range c.Presets {
		s.presetIndex[c.Presets[i].Name] = i
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

// Workspaces returns the workspaces, sorted by name. If there are none, callers need no key.
func (s Set) Workspaces() []Workspace { return slices.Clone(s.content.Workspaces) }

// Presets returns the presets, sorted by name.
func (s Set) Presets() []Preset { return slices.Clone(s.content.Presets) }

// Service returns the service called name, if there is one.
func (s Set) Service(name string) (Service, bool) {
	return lookup(s.content.Services, s.serviceIndex, name)
}

// FirstServiceUsing returns the first service, by name, that uses the model or adapter
// called target, if there is one.
func (s Set) FirstServiceUsing(target string) (Service, bool) {
	return lookup(s.content.Services, s.targetServiceIndex, target)
}

// Model returns the model called name, if there is one.
func (s Set) Model(name string) (Model, bool) {
	return lookup(s.content.Models, s.modelIndex, name)
}

// Adapter returns the adapter called name, if there is one. No model has the
// name of an adapter.
func (s Set) Adapter(name string) (Adapter, bool) {
	return lookup(s.content.Adapters, s.adapterIndex, name)
}

// Preset returns the preset called name, if there is one.
func (s Set) Preset(name string) (Preset, bool) {
	return lookup(s.content.Presets, s.presetIndex, name)
}

// InitialPreset returns the preset that is in force until an operator selects one.
// It is empty only for the zero Set.
func (s Set) InitialPreset() Preset {
	for _, preset := range s.content.Presets {
		if preset.Initial {
			return preset
		}
	}
	return Preset{}
}

// PresetNames returns the name of InitialPreset, followed by the sorted names of
// the other presets.
func (s Set) PresetNames() []string {
	names := make([]string, 0, len(s.content.Presets))
	for _, preset := range s.content.Presets {
		if preset.Initial {
			names = slices.Insert(names, 0, preset.Name)
			continue
		}
		names = append(names, preset.Name)
	}
	return names
}

func lookup[T any](items []T, index map[string]int, name string) (T, bool) {
	i, ok := index[name]
	if !ok {
		var zero T
		return zero, false
	}
	return items[i], true
}

// Canonical returns the declarations as JSON. Equal declarations give equal
// bytes, however they were split into files.
func (s Set) Canonical() []byte {
	c := s.content
	c.Format = formatVersion
	c.normalize()
	// Encoding values of these types cannot fail, since all numbers are finite.
	data, err := json.Marshal(c)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "declaration: encoding"))
	}
	return data
}

// Decode decodes declarations in the encoding of Canonical. If they are invalid,
// Decode returns a *finding.Error, in which the place of a finding is a path such
// as services[3].models. Decode also returns an error if data differs from the
// result of Canonical for these declarations, so that equal revisions have equal
// bytes.
func Decode(data []byte) (Set, error) {
	var findings finding.List
	c, err := decodeContent(data)
	if err != nil {
		return Set{}, err
	}
	validate(c, sourceMap{}, &findings)
	if err := findings.Err(); err != nil {
		return Set{}, err
	}
	s := newSet(c)
	if !bytes.Equal(s.Canonical(), data) {
		return Set{}, errors.New("declaration: not in the canonical encoding; take it from Canonical")
	}
	return s, nil
}

// Check decodes data and returns the PresetNames of the declarations, or the
// error of Decode. Its result depends on data alone.
func Check(data []byte) ([]string, error) {
	set, err := Decode(data)
	if err != nil {
		return nil, err
	}
	return set.PresetNames(), nil
}

func decodeContent(data []byte) (content, error) {
	var header struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return content{}, errors.Wrap(err, "declaration: broken JSON")
	}
	if header.Format != formatVersion {
		return content{}, errors.Newf("declaration: format %d, but this version knows only %d; upgrade all instances first",
			header.Format, formatVersion)
	}
	var c content
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return content{}, errors.Wrap(err, "declaration: broken JSON")
	}
	return c, nil
}

// normalize puts every list into the order of the canonical encoding and replaces
// nil lists by empty ones.
func (c *content) normalize() {
	c.FailureDomains = sortedCopy(c.FailureDomains, func(d FailureDomain) string { return d.Name })
	c.AcceleratorClasses = sortedCopy(c.AcceleratorClasses, func(a AcceleratorClass) string { return a.Name })
	c.Services = sortedCopy(c.Services, func(s Service) string { return s.Name })
	for i := range c.Services {
		s := &c.Services[i]
		s.Models = sortedCopy(s.Models, identity)
		s.NonRepeatable = sortedCopy(s.NonRepeatable, Call.String)
		s.Repeatable = sortedCopy(s.Repeatable, Call.String)
	}
	c.Models = sortedCopy(c.Models, func(m Model) string { return m.Name })
	for i := range c.Models {
		m := &c.Models[i]
		m.Layouts = slices.Clone(m.Layouts)
		slices.SortFunc(m.Layouts, func(a, b Layout) int { return a.Accelerators - b.Accelerators })
		m.Versions = sortedCopy(m.Versions, func(v Version) string { return v.Name })
	}
	c.Adapters = sortedCopy(c.Adapters, func(a Adapter) string { return a.Name })
	for i := range c.Adapters {
		c.Adapters[i].Services = sortedCopy(c.Adapters[i].Services, identity)
	}
	c.Presets = sortedCopy(c.Presets, func(p Preset) string { return p.Name })
	for i := range c.Presets {
		p := &c.Presets[i]
		p.Floors = sortedCopy(p.Floors, func(f Floor) string { return f.Model })
		p.Shares = sortedCopy(p.Shares, func(s Share) string { return s.Service })
	}
	c.normalizeWorkspaces()
}

// normalizeWorkspaces sorts the workspaces and their lists.
func (c *content) normalizeWorkspaces() {
	c.Workspaces = sortedCopy(c.Workspaces, func(w Workspace) string { return w.Name })
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		w.Keys = sortedCopy(w.Keys, identity)
		w.Services = sortedCopy(w.Services, identity)
	}
}

// sortedCopy returns a sorted copy of items. It copies because Sets can share
// their lists.
func sortedCopy[T any](items []T, key func(T) string) []T {
	result := make([]T, len(items))
	copy(result, items)
	slices.SortStableFunc(result, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	return result
}

func identity(s string) string { return s }
