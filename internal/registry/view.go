package registry

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// View is the configuration at one revision. It is immutable and safe to share;
// Declarations must not be modified.
type View struct {
	Revision Revision `json:"revision"`
	// Preset is empty only at Revision 0.
	Preset       string `json:"preset"`
	Declarations []byte `json:"declarations,omitempty"`
	// ChangeID, By and At are the ID, operator and time of the change that created
	// the revision.
	ChangeID string    `json:"change-id"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	// encoded caches the result of GobEncode, because every follower fetches each
	// revision.
	encoded atomic.Pointer[[]byte]
}

// encodedView is the encoding of a View for other instances.
type encodedView struct {
	Revision     Revision  `json:"revision"`
	Preset       string    `json:"preset"`
	Declarations []byte    `json:"declarations,omitempty"`
	ChangeID     string    `json:"change-id"`
	By           string    `json:"by"`
	At           time.Time `json:"at"`
}

// GobEncode returns the encoding of the view for other instances.
func (v *View) GobEncode() ([]byte, error) {
	if encoded := v.encoded.Load(); encoded != nil {
		return *encoded, nil
	}
	declarations, err := Compress(v.Declarations)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(encodedView{
		Revision: v.Revision, Preset: v.Preset, Declarations: declarations, ChangeID: v.ChangeID, By: v.By, At: v.At,
	})
	if err != nil {
		return nil, errors.Wrap(err, "registry: encode view")
	}
	v.encoded.Store(&data)
	return data, nil
}

// GobDecode is the inverse of GobEncode. It ignores fields that were added in
// newer versions; the format in the declarations determines whether they can be
// used without those fields.
func (v *View) GobDecode(data []byte) error {
	var decoded encodedView
	if err := json.Unmarshal(data, &decoded); err != nil {
		return errors.Wrap(err, "registry: decode view")
	}
	declarations, err := Decompress(decoded.Declarations)
	if err != nil {
		return err
	}
	v.Revision, v.Preset, v.Declarations = decoded.Revision, decoded.Preset, declarations
	v.ChangeID, v.By, v.At = decoded.ChangeID, decoded.By, decoded.At
	return nil
}

// view returns the current configuration and the change that created it.
func (c *configuration) view() *View {
	v := &View{Revision: c.revision, Preset: c.preset, Declarations: c.declarations}
	if n := len(c.recentChanges); n > 0 {
		v.ChangeID = c.recentChanges[n-1].ID
		v.By = c.recentChanges[n-1].By
		v.At = c.recentChanges[n-1].At
	}
	return v
}
