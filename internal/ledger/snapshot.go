package ledger

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// ledgerSnapshot is the stored form of a Ledger.
type ledgerSnapshot struct {
	Guarantees     Guarantees            `json:"traits"`
	Incarnation    uint64                `json:"incarnation"`
	Revision       uint64                `json:"revision"`
	Clock          time.Time             `json:"clock,omitzero"`
	Accelerators   []accelerator         `json:"accelerators,omitempty"`
	Resident       []resident            `json:"resident,omitempty"`
	RoleBytes      int64                 `json:"role-bytes,omitempty"`
	Open           []openOrder           `json:"open,omitempty"`
	HighestNumber  uint64                `json:"highest-number,omitempty"`
	HighestFencing uint64                `json:"highest-fencing,omitempty"`
	Contradictions []contradictionRecord `json:"contradictions,omitempty"`
}

// contradictionRecord is the stored form of a contradiction.
type contradictionRecord struct {
	Path    string `json:"path"`
	Problem string `json:"problem"`
}

// MarshalJSON returns the stored form.
func (l Ledger) MarshalJSON() ([]byte, error) {
	snapshot := ledgerSnapshot{
		Guarantees:     l.guarantees,
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
		snapshot.Contradictions = append(snapshot.Contradictions, contradictionRecord{Path: f.Place.File, Problem: f.Problem})
	}
	data, err := json.Marshal(snapshot)
	return data, errors.Wrap(err, "ledger: encode")
}

// UnmarshalJSON decodes the stored form. If an accelerator may be overcommitted,
// UnmarshalJSON returns an *InsufficientMemoryError and leaves l unchanged.
func (l *Ledger) UnmarshalJSON(data []byte) error {
	var snapshot ledgerSnapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return errors.Wrap(err, "ledger: decode")
	}
	decoded := Ledger{
		guarantees:     snapshot.Guarantees,
		incarnation:    snapshot.Incarnation,
		revision:       snapshot.Revision,
		clock:          snapshot.Clock,
		accelerators:   snapshot.Accelerators,
		resident:       snapshot.Resident,
		roleBytes:      snapshot.RoleBytes,
		open:           snapshot.Open,
		highestNumber:  snapshot.HighestNumber,
		highestFencing: snapshot.HighestFencing,
	}
	for _, c := range snapshot.Contradictions {
		decoded.contradictions = append(decoded.contradictions, contradiction(c.Path, c.Problem))
	}
	if name, overcommitted := decoded.overcommitted(); overcommitted {
		account, _ := decoded.Account(name)
		return &InsufficientMemoryError{Accelerator: name, Account: account}
	}
	*l = decoded
	return nil
}
