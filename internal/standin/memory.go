package standin

import (
	"slices"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// memory accounts for the memory of an engine's accelerators. What is claimed
// never exceeds what there is: a claim beyond it is refused. It is not safe for
// concurrent use.
type memory struct {
	accelerators []upstreamapi.Accelerator
	// used is by the name of the accelerator, in bytes. Each is at least 0 and at
	// most the accelerator's memory.
	used map[string]int64
	// residents are in the order in which they were loaded.
	residents []resident
	role      upstreamapi.Role
	roleBytes int64
}

// resident is a model that can be run.
type resident struct {
	model        string
	version      string
	accelerators []string
	// bytes are taken of each of accelerators by the model alone.
	bytes    int64
	adapters []adapter
}

// adapter takes bytes of each accelerator of its model.
type adapter struct {
	name  string
	bytes int64
}

// newMemory returns a memory that holds the residents, which must fit.
func newMemory(accelerators []upstreamapi.Accelerator, residents []upstreamapi.Resident) *memory {
	m := &memory{accelerators: accelerators, used: map[string]int64{}}
	for _, r := range residents {
		if !m.claim(r.Accelerators, r.MemoryBytes) {
			panic("standin: the residents of the options do not fit")
		}
		loaded := resident{model: r.Model, version: r.Version, accelerators: r.Accelerators, bytes: r.MemoryBytes}
		for _, name := range r.Adapters {
			loaded.adapters = append(loaded.adapters, adapter{name: name})
		}
		m.residents = append(m.residents, loaded)
	}
	return m
}

// names returns the names of all accelerators.
func (m *memory) names() []string {
	names := make([]string, 0, len(m.accelerators))
	for _, a := range m.accelerators {
		names = append(names, a.Name)
	}
	return names
}

// claim takes bytes of each of the accelerators. If any of them is unknown or
// has less left, claim takes nothing and returns false.
func (m *memory) claim(accelerators []string, bytes int64) bool {
	for _, name := range accelerators {
		i := slices.IndexFunc(m.accelerators, func(a upstreamapi.Accelerator) bool { return a.Name == name })
		if i < 0 || bytes > m.accelerators[i].MemoryBytes-m.used[name] {
			return false
		}
	}
	for _, name := range accelerators {
		m.used[name] += bytes
	}
	return true
}

// free gives back what claim took.
func (m *memory) free(accelerators []string, bytes int64) {
	for _, name := range accelerators {
		m.used[name] -= bytes
	}
}

// find returns the resident, or nil.
func (m *memory) find(model, version string) *resident {
	i := slices.IndexFunc(m.residents, func(r resident) bool { return r.model == model && r.version == version })
	if i < 0 {
		return nil
	}
	return &m.residents[i]
}

// remove takes the resident out. Its memory stays claimed.
func (m *memory) remove(model, version string) {
	m.residents = slices.DeleteFunc(m.residents, func(r resident) bool {
		return r.model == model && r.version == version
	})
}

// serves returns what a request for name uses, name being a model or an adapter.
// The first version that was loaded serves. If nothing does, serves returns
// false.
func (m *memory) serves(name string) (use, bool) {
	for _, r := range m.residents {
		if r.model == name {
			return use{model: r.model, keys: []string{r.key()}}, true
		}
		if r.adapter(name) >= 0 {
			return use{model: r.model, keys: []string{r.key(), r.adapterKey(name)}}, true
		}
	}
	return use{}, false
}

// use is what a request uses.
type use struct {
	model string
	// keys name the resident and the adapter, if there is one.
	keys []string
}

// key names the resident among all residents.
func (r resident) key() string {
	return residentKey(r.model, r.version)
}

// adapterKey names one adapter of the resident among all adapters.
func (r resident) adapterKey(name string) string {
	return r.key() + "/" + name
}

func residentKey(model, version string) string {
	return model + "@" + version
}

// adapter returns the index of the adapter, or -1.
func (r resident) adapter(name string) int {
	return slices.IndexFunc(r.adapters, func(a adapter) bool { return a.name == name })
}

// total returns what the model and its adapters take of each accelerator.
func (r resident) total() int64 {
	sum := r.bytes
	for _, a := range r.adapters {
		sum += a.bytes
	}
	return sum
}

// announced returns the accelerators and the residents as they are announced.
func (m *memory) announced() ([]upstreamapi.Accelerator, []upstreamapi.Resident) {
	accelerators := slices.Clone(m.accelerators)
	for i := range accelerators {
		used := m.used[accelerators[i].Name]
		accelerators[i].UsedBytes = &used
	}
	var residents []upstreamapi.Resident
	for _, r := range m.residents {
		out := upstreamapi.Resident{
			Model:        r.model,
			Version:      r.version,
			Accelerators: slices.Clone(r.accelerators),
			MemoryBytes:  r.total(),
		}
		for _, a := range r.adapters {
			out.Adapters = append(out.Adapters, a.name)
		}
		residents = append(residents, out)
	}
	return accelerators, residents
}
