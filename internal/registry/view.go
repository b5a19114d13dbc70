package registry

import "time"

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
