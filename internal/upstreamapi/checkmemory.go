package upstreamapi

import (
	"fmt"

	"github.com/lovagelift/lovagelift/internal/finding"
)

// checkMemory finds accelerators and residents that are not well formed.
//
// A report of more memory in use than there is passes: the engine still serves
// callers, who would lose its models if the announcement were refused. The
// ledger of memory raises the alarm and gives that engine no orders.
func (a Announcement) checkMemory(findings *finding.List) {
	checkCount(findings, "$.accelerators", len(a.Accelerators), maxAccelerators)
	checkCount(findings, "$.resident", len(a.Resident), maxResident)
	if a.RoleMemoryBytes < 0 {
		findings.Add(at("$.role-memory-bytes"), "a negative amount", "write 0 or more")
	}
	announced := a.checkAccelerators(findings)
	seen := seenNames{}
	for i, resident := range a.Resident {
		path := fmt.Sprintf("$.resident[%d]", i)
		checkName(findings, path+".model", resident.Model)
		if resident.Version == "" {
			seen.check(findings, path, resident.Model)
		} else {
			checkName(findings, path+".version", resident.Version)
			seen.check(findings, path, resident.Model+"@"+resident.Version)
		}
		checkAdapters(findings, path, resident.Adapters)
		checkClaim(findings, path, announced, resident.Accelerators, resident.MemoryBytes)
	}
	for i, order := range a.UnderWay {
		path := fmt.Sprintf("$.under-way[%d]", i)
		checkName(findings, path+".id", order.ID)
		checkClaim(findings, path, announced, order.Accelerators, order.MemoryBytes)
	}
}

// checkAccelerators returns the names of the accelerators.
func (a Announcement) checkAccelerators(findings *finding.List) seenNames {
	seen := seenNames{}
	for i, accelerator := range a.Accelerators {
		path := fmt.Sprintf("$.accelerators[%d]", i)
		checkName(findings, path+".name", accelerator.Name)
		seen.check(findings, path+".name", accelerator.Name)
		if accelerator.MemoryBytes <= 0 {
			findings.Add(at(path+".memory-bytes"), "an accelerator without memory", "write the bytes that may be taken")
		}
		if accelerator.UsedBytes != nil && *accelerator.UsedBytes < 0 {
			findings.Add(at(path+".used-bytes"), "a negative amount", "write 0 or more")
		}
	}
	return seen
}

func checkAdapters(findings *finding.List, path string, adapters []string) {
	seen := seenNames{}
	for i, adapter := range adapters {
		place := fmt.Sprintf("%s.adapters[%d]", path, i)
		checkName(findings, place, adapter)
		seen.check(findings, place, adapter)
	}
}

// checkClaim finds a claim of memory that names no announced accelerator.
func checkClaim(findings *finding.List, path string, announced seenNames, names []string, bytes int64) {
	if bytes < 0 {
		findings.Add(at(path+".memory-bytes"), "a negative amount", "write 0 or more")
	}
	seen := seenNames{}
	for i, name := range names {
		place := fmt.Sprintf("%s.accelerators[%d]", path, i)
		seen.check(findings, place, name)
		if !announced[name] {
			findings.Add(at(place), fmt.Sprintf("the accelerator %q is not announced", name), "name one of accelerators")
		}
	}
}

// Check returns all that is wrong with the order, as far as it can be judged
// without the engine.
func (o Order) Check() finding.List {
	var findings finding.List
	checkName(&findings, "$.id", o.ID)
	if o.Number == 0 || o.Fencing == 0 || o.Incarnation == 0 {
		findings.Add(at(whole), "the number, the fencing number or the incarnation is missing", "write all three")
	}
	if o.MemoryBytes < 0 {
		findings.Add(at("$.memory-bytes"), "a negative amount", "write 0 or more")
	}
	checkAccelerators(&findings, o.Accelerators)
	o.checkKind(&findings)
	return findings
}

func checkAccelerators(findings *finding.List, names []string) {
	seen := seenNames{}
	for i, name := range names {
		path := fmt.Sprintf("$.accelerators[%d]", i)
		checkName(findings, path, name)
		seen.check(findings, path, name)
	}
}

// checkKind finds what the kind of order lacks.
func (o Order) checkKind(findings *finding.List) {
	checkWord(findings, "$.kind", o.Kind, OrderLoadModel, OrderUnloadModel, OrderLoadAdapter,
		OrderUnloadAdapter, OrderChangeVersion, OrderChangeRole)
	switch o.Kind {
	case OrderChangeRole:
		checkWord(findings, "$.role", o.Role, RoleMixed, RolePrefill, RoleDecode)
		return
	case OrderLoadAdapter, OrderUnloadAdapter:
		checkName(findings, "$.adapter", o.Adapter)
	case OrderChangeVersion:
		if o.Version == o.FromVersion {
			findings.Add(at("$.version"), "the version is the one that is replaced", "name another")
		}
	case OrderLoadModel, OrderUnloadModel:
	}
	checkName(findings, "$.model", o.Model)
	if o.takes() && (len(o.Accelerators) == 0 || o.MemoryBytes == 0) {
		findings.Add(at("$.memory-bytes"), "a load that takes no memory", "write its accelerators and the bytes it takes of each")
	}
}

// takes tells whether the order takes memory that was free before.
func (o Order) takes() bool {
	return o.Kind == OrderLoadModel || o.Kind == OrderLoadAdapter || o.Kind == OrderChangeVersion
}
