package declaration

import (
	"fmt"

	"github.com/lovagelift/lovagelift/internal/finding"
)

func (v *validator) allPresets() {
	if len(v.content.Presets) == 0 {
		place := finding.Place{File: "declarations"}
		v.list.Add(place, "no preset is declared, and exactly one must be in force",
			`write [[preset]] with name = "ordinary" and first = true`)
		return
	}
	first := ""
	for i, preset := range v.content.Presets {
		path := item("presets", i)
		v.preset(path, preset)
		if !preset.First {
			continue
		}
		if first != "" {
			v.add(path+".first", fmt.Sprintf("two presets are the first, the other at %s", v.origin.at(first)), "leave one out")
			continue
		}
		first = path + ".first"
	}
	if first == "" {
		v.add("presets[0].first", "no preset is the first to be in force", "write first = true in one preset")
	}
}

func (v *validator) preset(path string, p Preset) {
	v.between(path, "copies", p.Copies, 1, maxCopies)
	v.between(path, "reserve-percent", p.ReservePercent, 0, maxReserve)
	v.between(path, "tolerate-engines", p.TolerateEngines, 0, maxCount)
	v.between(path, "tolerate-failure-domains", p.TolerateFailureDomains, 0, maxCount)
	if p.WeightOfMoves > maxWeight || (p.WeightOfMoves < 0 && p.WeightOfMoves != notDeclared) {
		v.add(path+".weight-of-moves", fmt.Sprintf("%q must be from 0 to %d, not %g", "weight-of-moves", maxWeight, p.WeightOfMoves),
			"write for example weight-of-moves = 1")
	}
	models := make([]string, 0, len(p.Floors))
	for i, floor := range p.Floors {
		v.floor(item(path+".floors", i), floor)
		models = append(models, floor.Model)
	}
	v.unique(path+".floors", models)
	services := make([]string, 0, len(p.Shares))
	for i, share := range p.Shares {
		v.share(item(path+".shares", i), share)
		services = append(services, share.Service)
	}
	v.unique(path+".shares", services)
}

func (v *validator) floor(path string, f Floor) {
	if f.Model == "" {
		v.missing(path, "model", `"..."`)
	} else {
		v.refer(v.targets, path+".model", "model", f.Model)
	}
	v.between(path, "copies", f.Copies, 1, maxCopies)
	if f.FailureDomains > f.Copies && f.Copies >= 1 {
		v.add(path+".failure-domains", fmt.Sprintf("%d copies cannot be in %d failure domains", f.Copies, f.FailureDomains),
			fmt.Sprintf("write copies = %d, or fewer failure domains", f.FailureDomains))
		return
	}
	v.between(path, "failure-domains", f.FailureDomains, 1, maxCopies)
	if known := len(v.content.FailureDomains); known > 0 && f.FailureDomains > known {
		v.add(path+".failure-domains", fmt.Sprintf("%d failure domains, and %d are declared", f.FailureDomains, known),
			fmt.Sprintf("write failure-domains = %d", known))
	}
}

func (v *validator) share(path string, s Share) {
	if s.Service == "" {
		v.missing(path, "service", `"..."`)
	} else {
		v.refer(v.services, path+".service", "service", s.Service)
	}
	if s.Weight <= 0 || s.Weight > maxWeight {
		v.add(path+".weight", fmt.Sprintf("%q must be above 0 and at most %d, not %g", "weight", maxWeight, s.Weight),
			"write for example weight = 1")
	}
}
