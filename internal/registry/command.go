package registry

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/lease"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// commandFormat is the newest format of commands that this program knows. It
// grows with every new kind of command and every new field. An instance
// proposes a newer command only when all voters run a program that knows it.
const commandFormat = 5

// baseFormat is the format of commands that every program knows. A command is
// encoded in the oldest format that has its kind, so that voters that are not
// upgraded yet can carry it out.
const baseFormat = 1

// The formats that the kinds of command came with which not every program knows.
const (
	manifestFormat = 2
	editionFormat  = 3
	leaseFormat    = 4
	// quarantineFormat is that of a quarantine.Update.
	quarantineFormat = 5
)

// Command is what the replicated log carries: a Change, an edition.Put, a lease.Take, a
// quarantine.Update, or one of the commands of packages docket and manifest.
type Command any

// envelope is the encoding of a command. One field is set beside Format.
type envelope struct {
	Format  int             `json:"format"`
	Change  *Change         `json:"change,omitempty"`
	Claim   *docket.Claim   `json:"claim,omitempty"`
	Record  *docket.Record  `json:"record,omitempty"`
	Expire  *docket.Expire  `json:"expire,omitempty"`
	Abandon *docket.Abandon `json:"abandon,omitempty"`
	// Manifest is the encoding of a manifest.Command. It came with format 2.
	Manifest json.RawMessage `json:"manifest,omitempty"`
	// Edition came with format 3. Its content is packed.
	Edition *edition.Put `json:"edition,omitempty"`
	// Lease came with format 4.
	Lease *lease.Take `json:"lease,omitempty"`
	// Quarantine came with format 5.
	Quarantine *quarantine.Update `json:"quarantine,omitempty"`
}

// Encode returns a command's bytes for the log.
func Encode(command Command) ([]byte, error) {
	e := envelope{Format: baseFormat}
	switch c := command.(type) {
	case Change:
		if c.ID == "" || len(c.Declarations) > 0 && len(c.Presets) == 0 {
			return nil, errors.AssertionFailedf("registry: change %q was not prepared", c.ID)
		}
		packed, err := Pack(c.Declarations)
		if err != nil {
			return nil, err
		}
		c.Declarations = packed
		e.Change = &c
	case docket.Claim:
		e.Claim = &c
	case docket.Record:
		e.Record = &c
	case docket.Expire:
		e.Expire = &c
	case docket.Abandon:
		e.Abandon = &c
	case manifest.Command:
		encoded, err := manifest.Encode(c)
		if err != nil {
			return nil, err
		}
		e.Format, e.Manifest = manifestFormat, encoded
	case edition.Put:
		packed, err := Pack(c.Content)
		if err != nil {
			return nil, err
		}
		c.Content = packed
		e.Format, e.Edition = editionFormat, &c
	case lease.Take:
		e.Format, e.Lease = leaseFormat, &c
	case quarantine.Update:
		e.Format, e.Quarantine = quarantineFormat, &c
	default:
		return nil, errors.AssertionFailedf("registry: command %T", command)
	}
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "registry: encode command")
}

// formatOnly reads the format of an envelope whatever else is in it.
type formatOnly struct {
	Format *int `json:"format"`
}

// NewerError says that a command or snapshot comes from a newer program.
type NewerError struct {
	// What is the thing that is not known here.
	What string
}

// Error names the thing and gives the advice to upgrade.
func (e *NewerError) Error() string {
	return fmt.Sprintf("registry: %s comes from a newer program; upgrade this instance", e.What)
}

// Decode returns the command whose encoding is data. If data comes from a newer
// program, Decode returns a *NewerError. A voter decodes every command that
// another instance proposes, so that none enters the log that voters of its own
// version can't apply.
func Decode(data []byte) (Command, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var e envelope
	err := decoder.Decode(&e)
	if err != nil {
		// A newer format may have fields of which only Format can be read here.
		_ = json.Unmarshal(data, &formatOnly{Format: &e.Format})
	}
	if e.Format > commandFormat {
		return nil, &NewerError{What: fmt.Sprintf("command format %d", e.Format)}
	}
	if err != nil {
		return nil, errors.Wrap(err, "registry: decode command")
	}
	if e.Change != nil {
		if e.Change.Declarations, err = Unpack(e.Change.Declarations); err != nil {
			return nil, err
		}
	}
	if e.Edition != nil {
		if e.Edition.Content, err = Unpack(e.Edition.Content); err != nil {
			return nil, err
		}
	}
	return e.command()
}

func (e envelope) command() (Command, error) {
	var commands []Command
	if e.Change != nil {
		commands = append(commands, *e.Change)
	}
	if e.Claim != nil {
		commands = append(commands, *e.Claim)
	}
	if e.Record != nil {
		commands = append(commands, *e.Record)
	}
	if e.Expire != nil {
		commands = append(commands, *e.Expire)
	}
	if e.Abandon != nil {
		commands = append(commands, *e.Abandon)
	}
	if e.Manifest != nil {
		command, err := manifest.Decode(e.Manifest)
		if err != nil {
			return nil, err
		}
		commands = append(commands, command)
	}
	if e.Edition != nil {
		commands = append(commands, *e.Edition)
	}
	if e.Lease != nil {
		commands = append(commands, *e.Lease)
	}
	if e.Quarantine != nil {
		commands = append(commands, *e.Quarantine)
	}
	if len(commands) != 1 {
		return nil, errors.Newf("registry: decode command: %d commands in one", len(commands))
	}
	return commands[0], nil
}

// Result is what applying a command gave. One field is set.
type Result struct {
	Change   *Answer          `json:"change,omitempty"`
	Docket   *docket.Answer   `json:"docket,omitempty"`
	Manifest *manifest.Result `json:"manifest,omitempty"`
	Edition  *edition.Result  `json:"edition,omitempty"`
	// Lease is the command itself, which is always carried out.
	Lease *lease.Take `json:"lease,omitempty"`
	// Quarantine is the revision after a quarantine.Update.
	Quarantine uint64 `json:"quarantine,omitempty"`
}

// Encode returns the result's bytes, to be sent to the instance that proposed
// the command.
func (r Result) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "registry: encode result"))
	}
	return data
}

// DecodeResult returns the result whose Encode is data.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := json.Unmarshal(data, &r)
	return r, errors.Wrap(err, "registry: decode result")
}
