// Package gazette publishes the configuration in force to all parts of an
// instance (configuration cache).
package gazette

import (
	"bytes"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// Issue is the configuration in force at one revision. It is immutable and safe
// for concurrent use.
//
// A request takes one Issue when it is admitted and uses no other, so that it
// never sees half of one preset and half of the next.
type Issue struct {
	// Revision is 0 before the first change, when nothing is declared.
	Revision registry.Revision
	// Preset is the one preset in force. It is empty only at revision 0.
	Preset       declaration.Preset
	Declarations declaration.Set
}

// Gazette holds the latest Issue. It is safe for concurrent use.
type Gazette struct {
	latest atomic.Pointer[Issue]
	// publishing lets one Publish follow the other, so that a slower one does
	// not put an older Issue in place of a newer.
	publishing sync.Mutex
	// encoded is what the declarations of latest were decoded from.
	encoded []byte
}

// New returns a Gazette with the Issue of revision 0.
func New() *Gazette {
	g := &Gazette{}
	g.latest.Store(&Issue{})
	return g
}

// Latest returns the latest Issue. It takes no lock.
func (g *Gazette) Latest() *Issue {
	return g.latest.Load()
}

// Publish puts the configuration of view in force for this instance. If its
// revision is not above that in force, Publish does nothing: revisions never go
// back, whichever way an older view was delayed.
//
// If the declarations of view cannot be decoded, Publish returns an error and
// leaves the Issue in force as it is. The instance must then admit no new work,
// as for an expired configuration lease; it most likely needs to be upgraded.
func (g *Gazette) Publish(view *registry.View) error {
	g.publishing.Lock()
	defer g.publishing.Unlock()
	if view.Revision <= g.latest.Load().Revision {
		return nil
	}
	set, err := g.decode(view.Declarations)
	if err != nil {
		return errors.Wrapf(err, "gazette: revision %d", view.Revision)
	}
	preset, ok := set.Preset(view.Preset)
	if !ok {
		return errors.Newf("gazette: revision %d has preset %q in force, which it does not declare", view.Revision, view.Preset)
	}
	g.latest.Store(&Issue{Revision: view.Revision, Preset: preset, Declarations: set})
	g.encoded = view.Declarations
	return nil
}

// decode returns the declarations that encoded holds. A change of the preset
// alone leaves them, so that a replay of hundreds of changes decodes them once.
func (g *Gazette) decode(encoded []byte) (declaration.Set, error) {
	if latest := g.latest.Load(); latest.Revision > 0 && bytes.Equal(encoded, g.encoded) {
		return latest.Declarations, nil
	}
	return declaration.Decode(encoded)
}
