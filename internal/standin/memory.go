package standin

import (
	"slices"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// memory tracks the allocations of an engine's accelerator memory and the
// resident models. Allocations never exceed the capacity: a reservation beyond
// it fails. It is not safe for concurrent use.
type memory struct {
	accelerators []upstreamapi.Accelerator
	// used is the allocated memory in bytes by accelerator name, between 0 and
	// the accelerator's capacity.
	used map[string]int64
	// residents are in loading order.
	residents []resident
	role      upstreamapi.Role
	roleBytes int64
}

// resident is a loaded model.
type resident struct {
	model        string
	version      string
	accelerators []string
	// bytes is the memory that the model alone, without adapters, occupies on
	// each of accelerators.
	bytes    int64
	adapters []adapter
}

// adapter occupies bytes on each accelerator of its model.
type adapter struct {
	name  string
	bytes int64
}

// newMemory returns a memory with the given resident models. It panics if they
// do not fit.
func newMemory(accelerators []upstreamapi.Accelerator, residents []upstreamapi.Resident) *memory {
	m := &memory{accelerators: accelerators, used: map[string]int64{}}
	for _, r := range residents {
		if !m.reserve(r.Accelerators, r.MemoryBytes) {
			panic("standin: the residents of the options do not fit")
		}
		model := resident{model: r.Model, version: r.Version, accelerators: r.Accelerators, bytes: r.MemoryBytes}
		for _, name := range r.Adapters {
			model.adapters = append(model.adapters, adapter{name: name})
		}
		m.residents = append(m.residents, model)
	}
	return m
}

func (m *memory) acceleratorNames() []string {
	names := make([]string, 0, len(m.accelerators))
	for _, a := range m.accelerators {
		names = append(names, a.Name)
	}
	return names
}

// reserve allocates bytes on each of the accelerators. If any of them is
// unknown or has less free memory, reserve allocates nothing and returns false.
func (m *memory) reserve(accelerators []string, bytes int64) bool {
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

// release frees what reserve allocated.
func (m *memory) release(accelerators []string, bytes int64) {
	for _, name := range accelerators {
		m.used[name] -= bytes
	}
}

// findResident returns nil if the version of the model is not loaded.
func (m *memory) findResident(model, version string) *resident {
	i := slices.IndexFunc(m.residents, func(r resident) bool { return r.model == model && r.version == version })
	if i < 0 {
		return nil
	}
	return &m.residents[i]
}

// removeResident removes the model from the resident models. Its memory stays
// allocated.
func (m *memory) removeResident(model, version string) {
	m.residents = slices.DeleteFunc(m.residents, func(r resident) bool {
		return r.model == model && r.version == version
	})
}

// resolve returns the target of a request for name, which is a model or an
// adapter. If several versions match, the one loaded first serves the request.
// If none does, resolve returns false.
func (m *memory) resolve(name string) (modelTarget, bool) {
	for _, r := range m.residents {
		if r.model == name {
			return modelTarget{model: r.model, usageKeys: []string{r.key()}}, true
		}
		if r.adapterIndex(name) >= 0 {
			return modelTarget{model: r.model, usageKeys: []string{r.key(), r.adapterKey(name)}}, true
		}
	}
	return modelTarget{}, false
}

// modelTarget is the model, and possibly the adapter, that a request uses.
type modelTarget struct {
	model string
	// usageKeys are the keys of the resident model and of the adapter, if any,
	// in Engine.activeRequests.
	usageKeys []string
}

// key identifies the model and its version.
func (r resident) key() string {
	return residentKey(r.model, r.version)
}

// adapterKey identifies an adapter of the model.
func (r resident) adapterKey(name string) string {
	return r.key() + "/" + name
}

func residentKey(model, version string) string {
	return model + "@" + version
}

// adapterIndex returns -1 if the adapter is not loaded.
func (r resident) adapterIndex(name string) int {
	return slices.IndexFunc(r.adapters, func(a adapter) bool { return a.name == name })
}

// totalBytes returns the memory that the model and its adapters occupy on each
// accelerator.
func (r resident) totalBytes() int64 {
	sum := r.bytes
	for _, a := range r.adapters {
		sum += a.bytes
	}
	return sum
}

// inventory returns the accelerators and the resident models in announcement
// form.
func (m *memory) inventory() ([]upstreamapi.Accelerator, []upstreamapi.Resident) {
	accelerators := slices.Clone(m.accelerators)
	for i := range accelerators {
		used := m.used[accelerators[i].Name]
		accelerators[i].UsedBytes = &used
	}
	var residents []upstreamapi.Resident
	for _, r := range m.residents {
		announced := upstreamapi.Resident{
			Model:        r.model,
			Version:      r.version,
			Accelerators: slices.Clone(r.accelerators),
			MemoryBytes:  r.totalBytes(),
		}
		for _, a := range r.adapters {
			announced.Adapters = append(announced.Adapters, a.name)
		}
		residents = append(residents, announced)
	}
	return accelerators, residents
}
