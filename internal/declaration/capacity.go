package declaration

import "fmt"

// capacity finds declarations that can fit on the declared accelerators in no
// way: it counts memory as one whole, so what it refuses is certain not to fit,
// while what it accepts may still not. It must see only content without other
// findings.
func (v *validator) capacity() {
	classes := v.content.AcceleratorClasses
	if len(classes) == 0 {
		return
	}
	var total float64
	for _, class := range classes {
		total += float64(class.Memory) * float64(class.Count)
	}
	adapters := v.adapterMemory()
	leasts := map[string]footprint{}
	for i, model := range v.content.Models {
		least, ok := leastFootprint(model, adapters[model.Name], classes)
		if !ok {
			v.add(item("models", i)+".layouts", fmt.Sprintf("model %q with its KV space fits on no declared accelerator class", model.Name),
				"write a layout over more accelerators, or declare a larger class")
			continue
		}
		leasts[model.Name] = least
	}
	if len(leasts) < len(v.content.Models) {
		return
	}
	for i, preset := range v.content.Presets {
		v.presetCapacity(item("presets", i), preset, leasts, total)
	}
}

// footprint is what a model takes over all accelerators of a copy.
type footprint struct {
	// copy is what each copy takes.
	copy float64
	// adapters is what the model's adapters take, each beside one copy.
	adapters float64
}

// adapterMemory returns the memory of all adapters of each model, for each
// accelerator of a copy.
func (v *validator) adapterMemory() map[string]float64 {
	sums := map[string]float64{}
	for _, adapter := range v.content.Adapters {
		sums[adapter.Model] += float64(adapter.Memory)
	}
	return sums
}

// leastFootprint returns the smallest footprint among the layouts that fit on
// classes. It returns false if none fits.
func leastFootprint(m Model, adapters float64, classes []AcceleratorClass) (footprint, bool) {
	var least footprint
	found := false
	for _, layout := range m.Layouts {
		if !fits(m, layout, classes) {
			continue
		}
		spread := float64(layout.Accelerators)
		candidate := footprint{copy: spread * float64(layout.Memory+m.KVSpace), adapters: spread * adapters}
		if !found || candidate.copy+candidate.adapters < least.copy+least.adapters {
			least, found = candidate, true
		}
	}
	return least, found
}

func fits(m Model, layout Layout, classes []AcceleratorClass) bool {
	for _, class := range classes {
		if layout.Memory+m.KVSpace <= class.Memory && layout.Accelerators <= class.Count {
			return true
		}
	}
	return false
}

func (v *validator) presetCapacity(path string, p Preset, leasts map[string]footprint, total float64) {
	var models, adapters float64
	floors := map[string]int{}
	for _, floor := range p.Floors {
		floors[floor.Model] = floor.Copies
	}
	copies := 0
	for _, model := range v.content.Models {
		floor, named := floors[model.Name]
		if !named {
			floor = p.Copies
		}
		copies += floor
		models += float64(floor) * leasts[model.Name].copy
		adapters += leasts[model.Name].adapters
	}
	reserve := total * float64(p.ReservePercent) / 100
	if models+adapters+reserve <= total {
		return
	}
	v.add(path, fmt.Sprintf("preset %q does not fit: %d copies take %s, adapters %s, the reserve of %d%% %s, together %s of %s",
		p.Name, copies, Bytes(models), Bytes(adapters), p.ReservePercent, Bytes(reserve),
		Bytes(models+adapters+reserve), Bytes(total)),
		"lower its floors or its reserve")
}
