package manifest

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Command changes a Manifest. It is a Lead, Reports, Record, Resend, Answer,
// Lost, Withdraw or Forget. Each may be proposed again while its fate is open:
// the second time, it changes nothing and is answered as the first time, or is
// refused.
type Command interface {
	command()
}

// Lead says that the holder of the fencing number Term gives orders from now on.
// The open orders of earlier ones become doubtful.
type Lead struct {
	Term uint64 `json:"term"`
}

// Reports are announcements of engines, as they came.
type Reports struct {
	Announcements []upstreamapi.Announcement `json:"announcements"`
}

// Record records an order before it is sent. Only an order that is recorded may
// be sent.
type Record struct {
	Engine string            `json:"engine"`
	Order  upstreamapi.Order `json:"order"`
	// Why says what the order is for, and At when it was recorded by the leader's
	// clock. Both are for people.
	Why string    `json:"why"`
	At  time.Time `json:"at"`
}

// Resend records that an open order will be sent again under the fencing number
// Term.
type Resend struct {
	Engine string `json:"engine"`
	ID     string `json:"id"`
	Term   uint64 `json:"term"`
}

// Answer records what an engine answered to an order, or to a question after it.
type Answer struct {
	Engine string                  `json:"engine"`
	Answer upstreamapi.OrderAnswer `json:"answer"`
}

// Lost records that the answer to an order was lost.
type Lost struct {
	Engine string `json:"engine"`
	ID     string `json:"id"`
}

// Withdraw takes back an order of which the holder of Term, which recorded it,
// knows that no byte was sent and none will be.
type Withdraw struct {
	Engine string `json:"engine"`
	ID     string `json:"id"`
	Term   uint64 `json:"term"`
}

// Forget drops an engine that is gone. It is refused while an order to it is
// open: the engine may be back with the same incarnation, and the order with it.
type Forget struct {
	Engine string `json:"engine"`
}

func (Lead) command()     {}
func (Reports) command()  {}
func (Record) command()   {}
func (Resend) command()   {}
func (Answer) command()   {}
func (Lost) command()     {}
func (Withdraw) command() {}
func (Forget) command()   {}

// encoded is the encoding of a command. One field is set.
type encoded struct {
	Lead     *Lead     `json:"lead,omitempty"`
	Reports  *Reports  `json:"reports,omitempty"`
	Record   *Record   `json:"record,omitempty"`
	Resend   *Resend   `json:"resend,omitempty"`
	Answer   *Answer   `json:"answer,omitempty"`
	Lost     *Lost     `json:"lost,omitempty"`
	Withdraw *Withdraw `json:"withdraw,omitempty"`
	Forget   *Forget   `json:"forget,omitempty"`
}

// Encode returns a command's bytes, a JSON object.
func Encode(command Command) ([]byte, error) {
	var e encoded
	switch c := command.(type) {
	case Lead:
		e.Lead = &c
	case Reports:
		e.Reports = &c
	case Record:
		e.Record = &c
	case Resend:
		e.Resend = &c
	case Answer:
		e.Answer = &c
	case Lost:
		e.Lost = &c
	case Withdraw:
		e.Withdraw = &c
	case Forget:
		e.Forget = &c
	default:
		return nil, errors.AssertionFailedf("manifest: command %T", command)
	}
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "manifest: encode command")
}

// Decode returns the command whose Encode is data. A command that this program
// does not know is an error: the registry's format tells newer ones apart.
func Decode(data []byte) (Command, error) {
	var e encoded
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
