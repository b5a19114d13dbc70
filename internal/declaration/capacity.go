package declaration

import "fmt"

// checkCapacity adds findings for models and presets that cannot fit on the
// declared accelerators. It treats the memory of all accelerators as a single
// pool, so everything it refuses is certain not to fit, but content that it
// accepts may still not fit. The content must have no other findings.
func (v *validator) checkCapacity() {
	classes := v.content.AcceleratorClasses
	if len(classes) == 0 {
		return
	}
	var totalMemory float64
	for _, class := range classes {
		totalMemory += float64(class.Memory) * float64(class.Count)
	}
	adapterMemory := v.adapterMemory()
	footprints := map[string]footprint{}
	for i, model := range v.content.Models {
		smallest, ok := smallestFootprint(model, adapterMemory[model.Name], classes)
		if !ok {
			v.addFinding(elementPath("models", i)+".layouts", fmt.Sprintf("model %q with its KV space fits on no declared accelerator class", model.Name),
				"write a layout over more accelerators, or declare a larger class")
			continue
		}
		footprints[model.Name] = smallest
	}
	if len(footprints) < len(v.content.Models) {
		return
	}
	for i, preset := range v.content.Presets {
		v.checkPresetCapacity(elementPath("presets", i), preset, footprints, totalMemory)
	}
}

// footprint is the memory in bytes that a model takes, summed over all
// accelerators of a copy.
type footprint struct {
	// copy is the memory of each copy.
	copy float64
	// adapters is the memory of the model's adapters, each loaded beside one
	// copy.
	adapters float64
}

// adapterMemory returns, for each model, the memory of all its adapters on one
// accelerator of a copy.
func (v *validator) adapterMemory() map[string]float64 {
	sums := map[string]float64{}
	for _, adapter := range v.content.Adapters {
		sums[adapter.Model] += float64(adapter.Memory)
	}
	return sums
}

// smallestFootprint returns the smallest footprint among the layouts that fit on
// classes. It returns false if none fits.
func smallestFootprint(model Model, adapterMemory float64, classes []AcceleratorClass) (footprint, bool) {
	var smallest footprint
	found := false
	for _, layout := range model.Layouts {
		if !fits(model, layout, classes) {
			continue
		}
		accelerators := float64(layout.Accelerators)
		candidate := footprint{copy: accelerators * float64(layout.Memory+model.KVCacheMemory), adapters: accelerators * adapterMemory}
		if !found || candidate.copy+candidate.adapters < smallest.copy+smallest.adapters {
			smallest, found = candidate, true
		}
	}
	return smallest, found
}

// fits reports whether a class has enough accelerators, and enough memory on each,
// for a copy in the layout.
func fits(model Model, layout Layout, classes []AcceleratorClass) bool {
	for _, class := range classes {
		if layout.Memory+model.KVCacheMemory <= class.Memory && layout.Accelerators <= class.Count {
			return true
		}
	}
	return false
}

// checkPresetCapacity adds a finding if the minimum copies of all models, their
// adapters and the reserve together exceed totalMemory, which is in bytes.
func (v *validator) checkPresetCapacity(path string, preset Preset, footprints map[string]footprint, totalMemory float64) {
	var modelMemory, adapterMemory float64
	floors := map[string]int{}
	for _, floor := range preset.Floors {
		floors[floor.Model] = floor.Copies
	}
	copies := 0
	for _, model := range v.content.Models {
		floor, listed := floors[model.Name]
		if !listed {
			floor = preset.Copies
		}
		copies += floor
		modelMemory += float64(floor) * footprints[model.Name].copy
		adapterMemory += footprints[model.Name].adapters
	}
	reserveMemory := totalMemory * float64(preset.ReservePercent) / 100
	if modelMemory+adapterMemory+reserveMemory <= totalMemory {
		return
	}
	v.addFinding(path, fmt.Sprintf("preset %q does not fit: %d copies take %s, adapters %s, the reserve of %d%% %s, together %s of %s",
		preset.Name, copies, Bytes(modelMemory), Bytes(adapterMemory), preset.ReservePercent, Bytes(reserveMemory),
		Bytes(modelMemory+adapterMemory+reserveMemory), Bytes(totalMemory)),
		"lower its floors or its reserve")
}
