// Package workspace is the directory of workspaces: it finds the workspace of a caller by
// its API key, and holds what the operator grants to each workspace.
//
// A Directory holds digests of keys only.
package workspace

import (
	"crypto/sha256"
	"fmt"
	"math"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/quota"
)

// KeyDigest is the SHA-256 hash of an API key.
type KeyDigest [sha256.Size]byte

// Digest returns the digest of an API key.
func Digest(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// Workspace is a group of callers with shared keys, priority and quota.
type Workspace struct {
	// Name is not empty and unique in a Directory.
	Name string
	// Keys are unique in a Directory. A workspace without keys can't be used.
	Keys []KeyDigest
	// Priority is the priority of the workspace's requests, 0 being the most urgent. It goes
	// before that of the route or service.
	Priority uint8
	// Weight is the workspace's part of a capacity that is short, relative to the other workspaces.
	// It is finite and not negative; 0 means 1.
	Weight float64
	Quota  quota.Limit
}

// Directory is a set of workspaces. It is immutable and safe for concurrent use. A nil
// Directory and the zero value have no workspaces.
type Directory struct {
	byKey   map[KeyDigest]*Workspace
	byName  map[string]*Workspace
	weights Weights
}

// New returns the Directory of list, and adds all faults of the list to findings. The faults
// name no key.
func New(list []Workspace, findings *finding.List) *Directory {
	d := &Directory{byKey: map[KeyDigest]*Workspace{}, byName: map[string]*Workspace{}}
	for i := range list {
		w := &list[i]
		place := finding.Place{File: "workspace " + w.Name}
		if w.Name == "" {
			findings.Add(place, "a workspace has no name", "")
		}
		if d.byName[w.Name] != nil {
			findings.Add(place, "two workspaces have this name", "")
		}
		d.byName[w.Name] = w
		if !w.Quota.Valid() {
			findings.Add(place, "a number of its quota is negative or infinite", "")
		}
		if !(w.Weight >= 0) || math.IsInf(w.Weight, 1) {
			findings.Add(place, "its weight is negative, infinite or not a number", "")
		}
		d.addKeys(place, w, findings)
	}
	d.weights = weightsOf(list)
	return d
}

// addKeys adds the keys of a workspace.
func (d *Directory) addKeys(place finding.Place, w *Workspace, findings *finding.List) {
	for i, key := range w.Keys {
		switch other := d.byKey[key]; {
		case key == Digest(""):
			findings.Add(place, fmt.Sprintf("its key %d is empty", i), "")
		case other != nil && other != w:
			findings.Add(place, fmt.Sprintf("its key %d is also a key of workspace %s", i, other.Name), "")
		}
		d.byKey[key] = w
	}
}

// Find returns the workspace that holds key, or nil. Its running time tells nothing of the
// keys, since only hashes are compared and callers can't choose a hash.
func (d *Directory) Find(key string) *Workspace {
	if d.Empty() {
		return nil
	}
	return d.byKey[Digest(key)]
}

// Named returns the workspace with the given name, or nil.
func (d *Directory) Named(name string) *Workspace {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// Empty reports whether there are no workspaces, so that callers need no key.
func (d *Directory) Empty() bool {
	return d == nil || len(d.byName) == 0
}
