package upstreamapi

import (
	"fmt"

	"github.com/lovagelift/lovagelift/internal/finding"
)

// checkMemory validates accelerators, resident models and orders in progress.
//
// A report of more memory in use than the accelerator has is accepted: the
// engine still serves requests, and rejecting the announcement would make its
// models unavailable. The memory ledger raises the alarm and sends that engine
// no orders.
func (a Announcement) checkMemory(findings *finding.List) {
	checkCount(findings, "$.accelerators", len(a.Accelerators), maxAccelerators)
	checkCount(findings, "$.resident", len(a.Resident), maxResident)
	if a.RoleMemoryBytes < 0 {
		findings.Add(pathPlace("$.role-memory-bytes"), "a negative amount", "write 0 or more")
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
		checkAllocation(findings, path, announced, resident.Accelerators, resident.MemoryBytes)
	}
	for i, order := range a.UnderWay {
		path := fmt.Sprintf("$.under-way[%d]", i)
		checkName(findings, path+".id", order.ID)
		checkAllocation(findings, path, announced, order.Accelerators, order.MemoryBytes)
	}
}

// checkAccelerators validates the accelerators and returns their names.
func (a Announcement) checkAccelerators(findings *finding.List) seenNames {
	seen := seenNames{}
	for i, accelerator := range a.Accelerators {
		path := fmt.Sprintf("$.accelerators[%d]", i)
		checkName(findings, path+".name", accelerator.Name)
		seen.check(findings, path+".name", accelerator.Name)
		if accelerator.MemoryBytes <= 0 {
			findings.Add(pathPlace(path+".memory-bytes"), "an accelerator without memory", "write the bytes that may be taken")
		}
		if accelerator.UsedBytes != nil && *accelerator.UsedBytes < 0 {
			findings.Add(pathPlace(path+".used-bytes"), "a negative amount", "write 0 or more")
		}
	}
	return seen
}

func checkAdapters(findings *finding.List, path string, adapters []string) {
	seen := seenNames{}
	for i, adapter := range adapters {
		adapterPath := fmt.Sprintf("%s.adapters[%d]", path, i)
		checkName(findings, adapterPath, adapter)
		seen.check(findings, adapterPath, adapter)
	}
}

// checkAllocation validates a memory allocation. Its accelerators must be among
// the announced ones.
func checkAllocation(findings *finding.List, path string, announced seenNames, names []string, bytes int64) {
	if bytes < 0 {
		findings.Add(pathPlace(path+".memory-bytes"), "a negative amount", "write 0 or more")
	}
	seen := seenNames{}
	for i, name := range names {
		acceleratorPath := fmt.Sprintf("%s.accelerators[%d]", path, i)
		seen.check(findings, acceleratorPath, name)
		if !announced[name] {
			findings.Add(pathPlace(acceleratorPath), fmt.Sprintf("the accelerator %q is not announced", name), "name one of accelerators")
		}
	}
}

// Check validates the order as far as possible without knowledge of the
// engine's state.
func (o Order) Check() finding.List {
	var findings finding.List
	checkName(&findings, "$.id", o.ID)
	if o.Number == 0 || o.Fencing == 0 || o.Incarnation == 0 {
		findings.Add(pathPlace(rootPath), "the number, the fencing number or the incarnation is missing", "write all three")
	}
	if o.MemoryBytes < 0 {
		findings.Add(pathPlace("$.memory-bytes"), "a negative amount", "write 0 or more")
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

// checkKind validates the fields that the kind of order requires.
func (o Order) checkKind(findings *finding.List) {
	checkEnum(findings, "$.kind", o.Kind, OrderLoadModel, OrderUnloadModel, OrderLoadAdapter,
		OrderUnloadAdapter, OrderChangeVersion, OrderChangeRole)
	switch o.Kind {
	case OrderChangeRole:
		checkEnum(findings, "$.role", o.Role, RoleMixed, RolePrefill, RoleDecode)
		return
	case OrderLoadAdapter, OrderUnloadAdapter:
		checkName(findings, "$.adapter", o.Adapter)
	case OrderChangeVersion:
		if o.Version == o.FromVersion {
			findings.Add(pathPlace("$.version"), "the version is the one that is replaced", "name another")
		}
	case OrderLoadModel, OrderUnloadModel:
	}
	checkName(findings, "$.model", o.Model)
	if o.allocatesMemory() && (len(o.Accelerators) == 0 || o.MemoryBytes == 0) {
		findings.Add(pathPlace("$.memory-bytes"), "a load that takes no memory", "write its accelerators and the bytes it takes of each")
	}
}

// allocatesMemory reports whether the order allocates memory that was free
// before.
func (o Order) allocatesMemory() bool {
	return o.Kind == OrderLoadModel || o.Kind == OrderLoadAdapter || o.Kind == OrderChangeVersion
}
