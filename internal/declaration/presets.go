package declaration

import (
	"fmt"

	"github.com/lovagelift/lovagelift/internal/finding"
)

func (v *validator) checkPresets() {
	if len(v.content.Presets) == 0 {
		place := finding.Place{File: "declarations"}
		v.findings.Add(place, "no preset is declared, and exactly one must be in force",
			`write [[preset]] with name = "ordinary" and first = true`)
		return
	}
	initialPath := ""
	for i, preset := range v.content.Presets {
		path := elementPath("presets", i)
		v.checkPreset(path, preset)
		if !preset.Initial {
			continue
		}
		if initialPath != "" {
			v.addFinding(path+".first", fmt.Sprintf("two presets are the first, the other at %s", v.sources.placeOf(initialPath)), "leave one out")
			continue
		}
		initialPath = path + ".first"
	}
	if initialPath == "" {
		v.addFinding("presets[0].first", "no preset is the first to be in force", "write first = true in one preset")
	}
}

func (v *validator) checkPreset(path string, preset Preset) {
	v.checkRange(path, "copies", preset.Copies, 1, maxCopies)
	v.checkRange(path, "reserve-percent", preset.ReservePercent, 0, maxReservePercent)
	v.checkRange(path, "tolerate-engines", preset.TolerateEngines, 0, maxCount)
	v.checkRange(path, "tolerate-failure-domains", preset.TolerateFailureDomains, 0, maxCount)
	if preset.WeightOfMoves > maxWeight || (preset.WeightOfMoves < 0 && preset.WeightOfMoves != unsetWeightOfMoves) {
		v.addFinding(path+".weight-of-moves", fmt.Sprintf("%q must be from 0 to %d, not %g", "weight-of-moves", maxWeight, preset.WeightOfMoves),
			"write for example weight-of-moves = 1")
	}
	models := make([]string, 0, len(preset.Floors))
	for i, floor := range preset.Floors {
		v.checkFloor(elementPath(path+".floors", i), floor)
		models = append(models, floor.Model)
	}
	v.checkUnique(path+".floors", models)
	services := make([]string, 0, len(preset.Shares))
	for i, share := range preset.Shares {
		v.checkShare(elementPath(path+".shares", i), share)
		services = append(services, share.Service)
	}
	v.checkUnique(path+".shares", services)
}

func (v *validator) checkFloor(path string, floor Floor) {
	if floor.Model == "" {
		v.addMissingKey(path, "model", `"..."`)
	} else {
		v.checkReference(v.targets, path+".model", "model", floor.Model)
	}
	v.checkRange(path, "copies", floor.Copies, 1, maxCopies)
	if floor.FailureDomains > floor.Copies && floor.Copies >= 1 {
		v.addFinding(path+".failure-domains", fmt.Sprintf("%d copies cannot be in %d failure domains", floor.Copies, floor.FailureDomains),
			fmt.Sprintf("write copies = %d, or fewer failure domains", floor.FailureDomains))
		return
	}
	v.checkRange(path, "failure-domains", floor.FailureDomains, 1, maxCopies)
	if declaredCount := len(v.content.FailureDomains); declaredCount > 0 && floor.FailureDomains > declaredCount {
		v.addFinding(path+".failure-domains", fmt.Sprintf("%d failure domains, and %d are declared", floor.FailureDomains, declaredCount),
			fmt.Sprintf("write failure-domains = %d", declaredCount))
	}
}

func (v *validator) checkShare(path string, share Share) {
	if share.Service == "" {
		v.addMissingKey(path, "service", `"..."`)
	} else {
		v.checkReference(v.services, path+".service", "service", share.Service)
	}
	if share.Weight <= 0 || share.Weight > maxWeight {
		v.addFinding(path+".weight", fmt.Sprintf("%q must be above 0 and at most %d, not %g", "weight", maxWeight, share.Weight),
			"write for example weight = 1")
	}
}
