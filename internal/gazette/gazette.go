// Package gazette is the configuration cache of an instance: it holds the configuration in
// force for all parts of the instance.
package gazette

import (
	"bytes"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// Configuration is the configuration at one revision. It is immutable and safe for concurrent use.
//
// A request keeps the Configuration that is the latest at its admission, so that it never sees a
// mixture of two presets.
type Configuration struct {
	// Revision is 0 before the first change, when nothing is declared.
	Revision registry.Revision
	// Preset is the preset in force. It is empty only at revision 0.
	Preset       declaration.Preset
	Declarations declaration.Set
}

// Cache holds the latest Configuration. It is safe for concurrent use.
type Cache struct {
	latest atomic.Pointer[Configuration]
	// publishMu serializes calls of Publish, so that a slow one can't replace a newer
	// Configuration by an older one. It guards encoded.
	publishMu sync.Mutex
	// encoded is the encoding of the declarations of latest.
	encoded []byte
}

// New returns a Cache with the Configuration of revision 0.
func New() *Cache {
	c := &Cache{}
	c.latest.Store(&Configuration{})
	return c
}

// Latest returns the latest Configuration. It takes no lock.
func (c *Cache) Latest() *Configuration {
	return c.latest.Load()
}

// Publish makes the configuration of view the latest Configuration. If its revision is not above
// the latest, Publish does nothing: a delayed older view never replaces a newer one.
//
// If the declarations of view can't be decoded or don't declare its preset, Publish returns
// an error and keeps the latest Configuration. The instance must then admit no new work, as after
// the end of its configuration lease. Most likely it must be upgraded.
func (c *Cache) Publish(view *registry.View) error {
	c.publishMu.Lock()
	defer c.publishMu.Unlock()
	if view.Revision <= c.latest.Load().Revision {
		return nil
	}
	set, err := c.decode(view.Declarations)
	if err != nil {
		return errors.Wrapf(err, "gazette: revision %d", view.Revision)
	}
	preset, ok := set.Preset(view.Preset)
	if !ok {
		return errors.Newf("gazette: revision %d: preset %q is in force but not declared", view.Revision, view.Preset)
	}
	c.latest.Store(&Configuration{Revision: view.Revision, Preset: preset, Declarations: set})
	c.encoded = view.Declarations
	return nil
}

// decode decodes declarations. It reuses those of the latest Configuration if the encoding is the
// same: a replay of hundreds of changes of the preset alone then decodes them only once.
func (c *Cache) decode(encoded []byte) (declaration.Set, error) {
	if latest := c.latest.Load(); latest.Revision > 0 && bytes.Equal(encoded, c.encoded) {
		return latest.Declarations, nil
	}
	return declaration.Decode(encoded)
}
