package manifest

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Command is a state machine command of a Manifest: a NewLeader, Reports, Record,
// Resend, Answer, AnswerLost, Withdraw or RemoveEngine. Every command may be proposed
// again while it is unknown whether it was committed. If it was, applying it again
// changes nothing and either returns the same result or is rejected.
type Command interface {
	command()
}

// NewLeader records that the leader with the fencing number Term issues orders from now
// on. The open orders of earlier leaders become doubtful.
type NewLeader struct {
	Term uint64 `json:"term"`
}

// Reports records announcements of engines as received.
type Reports struct {
	Announcements []upstreamapi.Announcement `json:"announcements"`
}

// Record records an order as open. An order must be recorded before it is sent.
type Record struct {
	Engine string            `json:"engine"`
	Order  upstreamapi.Order `json:"order"`
	// Reason is the reason for the order, for display only.
	Reason string `json:"why"`
	// At is the time of recording on the leader's clock, for display only.
	At time.Time `json:"at"`
}

// Resend records that an open order will be sent again with the fencing number
// Term.
type Resend struct {
	Engine string `json:"engine"`
	ID     string `json:"id"`
	Term   uint64 `json:"term"`
}

// Answer records an engine's answer to an order or to a status query.
type Answer struct {
	Engine string                    `json:"engine"`
	Answer upstreamapi.OrderResponse `json:"answer"`
}

// AnswerLost records that the answer to an order was lost.
type AnswerLost struct {
	Engine string `json:"engine"`
	ID     string `json:"id"`
}

// Withdraw closes an order of which the leader that recorded it has sent no byte and
// will send none. Term is the fencing number of that leader.
type Withdraw struct {
	Engine string `json:"engine"`
	ID     string `json:"id"`
	Term   uint64 `json:"term"`
}

// RemoveEngine removes an engine that has left. It is rejected while an order to the
// engine is open: the engine may return with the same incarnation and execute the
// order.
type RemoveEngine struct {
	Engine string `json:"engine"`
}

func (NewLeader) command()    {}
func (Reports) command()      {}
func (Record) command()       {}
func (Resend) command()       {}
func (Answer) command()       {}
func (AnswerLost) command()   {}
func (Withdraw) command()     {}
func (RemoveEngine) command() {}

// envelope is the encoding of a command. Exactly one field is set.
type envelope struct {
	Lead     *NewLeader    `json:"lead,omitempty"`
	Reports  *Reports      `json:"reports,omitempty"`
	Record   *Record       `json:"record,omitempty"`
	Resend   *Resend       `json:"resend,omitempty"`
	Answer   *Answer       `json:"answer,omitempty"`
	Lost     *AnswerLost   `json:"lost,omitempty"`
	Withdraw *Withdraw     `json:"withdraw,omitempty"`
	Forget   *RemoveEngine `json:"forget,omitempty"`
}

// Encode returns the encoding of a command as a JSON object.
func Encode(command Command) ([]byte, error) {
	var e envelope
	switch c := command.(type) {
	case NewLeader:
		e.Lead = &c
	case Reports:
		e.Reports = &c
	case Record:
		e.Record = &c
	case Resend:
		e.Resend = &c
	case Answer:
		e.Answer = &c
	case AnswerLost:
		e.Lost = &c
	case Withdraw:
		e.Withdraw = &c
	case RemoveEngine:
		e.Forget = &c
	default:
		return nil, errors.AssertionFailedf("manifest: command %T", command)
	}
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "manifest: encode command")
}

// Decode is the inverse of Encode. It returns an error for an unknown command. The
// format number in the registry's encoding identifies commands of newer versions
// before Decode is called.
func Decode(data []byte) (Command, error) {
	var e envelope
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return nil, errors.Wrap(err, "manifest: decode command")
	}
	switch {
	case e.Lead != nil:
		return *e.Lead, nil
	case e.Reports != nil:
		return *e.Reports, nil
	case e.Record != nil:
		return *e.Record, nil
	case e.Resend != nil:
		return *e.Resend, nil
	case e.Answer != nil:
		return *e.Answer, nil
	case e.Lost != nil:
		return *e.Lost, nil
	case e.Withdraw != nil:
		return *e.Withdraw, nil
	case e.Forget != nil:
		return *e.Forget, nil
	default:
		return nil, errors.New("manifest: decode command: there is none that is known")
	}
}
