package ledger

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// state is the durable form of a Ledger.
type state struct {
	Traits         Traits         `json:"traits"`
	Incarnation    uint64         `json:"incarnation"`
	Revision       uint64         `json:"revision"`
	Clock          time.Time      `json:"clock,omitzero"`
	Accelerators   []accelerator  `json:"accelerators,omitempty"`
	Resident       []resident     `json:"resident,omitempty"`
	RoleBytes      int64          `json:"role-bytes,omitempty"`
	Open           []openOrder    `json:"open,omitempty"`
	HighestNumber  uint64         `json:"highest-number,omitempty"`
	HighestFencing uint64         `json:"highest-fencing,omitempty"`
	Contradictions []contradicted `json:"contradictions,omitempty"`
}

// contradicted is the durable form of a contradiction.
type contradicted struct {
	Path    string `json:"path"`
	Problem string `json:"problem"`
}

// MarshalJSON returns the durable form.
func (l Ledger) MarshalJSON() ([]byte, error) {
	s := state{
		Traits:         l.traits,
		Incarnation:    l.incarnation,
		Revision:       l.revision,
		Clock:          l.clock,
		Accelerators:   l.accelerators,
		Resident:       l.resident,
		RoleBytes:      l.roleBytes,
		Open:           l.open,
		HighestNumber:  l.highestNumber,
		HighestFencing: l.highestFencing,
	}
	for _, f := range l.contradictions {
		s.Contradictions = append(s.Contradictions, contradicted{Path: f.Place.File, Problem: f.Problem})
	}
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "ledger: encode")
}

// UnmarshalJSON reads the durable form. If more may be taken of an accelerator by
// it than there is, UnmarshalJSON returns an error and leaves l as it is.
func (l *Ledger) UnmarshalJSON(data []byte) error {
	var s state
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "ledger: decode")
	}
	read := Ledger{
		traits:         s.Traits,
		incarnation:    s.Incarnation,
		revision:       s.Revision,
		clock:          s.Clock,
		accelerators:   s.Accelerators,
		resident:       s.Resident,
		roleBytes:      s.RoleBytes,
		open:           s.Open,
		highestNumber:  s.HighestNumber,
		highestFencing: s.HighestFencing,
	}
	for _, c := range s.Contradictions {
		read.contradictions = append(read.contradictions, contradiction(c.Path, c.Problem))
	}
	if name, over := read.overcommitted(); over {
		account, _ := read.Account(name)
		return &RoomError{Accelerator: name, Account: account}
	}
	*l = read
	return nil
}
