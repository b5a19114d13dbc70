package registry

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// View is the configuration in force at one revision. It is immutable and safe
// to share; Declarations must not be changed.
type View struct {
	Revision Revision `json:"revision"`
	// Preset is empty only at Revision 0.
	Preset       string `json:"preset"`
	Declarations []byte `json:"declarations,omitempty"`
	// ChangeID, By and At tell of the change that made the revision.
	ChangeID string    `json:"change-id"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	// packed is the encoding for other instances once one has asked for it. All
	// instances without a disk ask for each revision.
	packed atomic.Pointer[[]byte]
}

// viewRecord is the encoding of a View for other instances.
type viewRecord struct {
	Revision     Revision  `json:"revision"`
	Preset       string    `json:"preset"`
	Declarations []byte    `json:"declarations,omitempty"`
	ChangeID     string    `json:"change-id"`
	By           string    `json:"by"`
	At           time.Time `json:"at"`
}

// GobEncode returns the view's bytes for another instance.
func (v *View) GobEncode() ([]byte, error) {
	if packed := v.packed.Load(); packed != nil {
		return *packed, nil
	}
	declarations, err := Pack(v.Declarations)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(viewRecord{
		Revision: v.Revision, Preset: v.Preset, Declarations: declarations, ChangeID: v.ChangeID, By: v.By, At: v.At,
	})
	if err != nil {
		return nil, errors.Wrap(err, "registry: encode view")
	}
	v.packed.Store(&data)
	return data, nil
}

// GobDecode takes over the view whose GobEncode returned data. Fields that only
// a newer program knows are left out; the format of the declarations says
// whether they can be understood without.
func (v *View) GobDecode(data []byte) error {
	var record viewRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return errors.Wrap(err, "registry: decode view")
	}
	declarations, err := Unpack(record.Declarations)
	if err != nil {
		return err
	}
	v.Revision, v.Preset, v.Declarations = record.Revision, record.Preset, declarations
	v.ChangeID, v.By, v.At = record.ChangeID, record.By, record.At
	return nil
}

func (c *configuration) view() *View {
	v := &View{Revision: c.revision, Preset: c.preset, Declarations: c.declarations}
	if n := len(c.applied); n > 0 {
		v.ChangeID = c.applied[n-1].ID
		v.By = c.applied[n-1].By
		v.At = c.applied[n-1].At
	}
	return v
}
