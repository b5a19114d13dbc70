package registry

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/departure"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/lease"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// newestCommandFormat is the newest command format that this version supports.
// Every new kind of command and every new field increments it. An instance
// proposes a command in a newer format only when all voters support that format.
const newestCommandFormat = 8

// baseCommandFormat is the command format that every version supports. A command
// is encoded in the oldest format that includes its kind, so that voters that are
// not yet upgraded can apply it.
const baseCommandFormat = 1

// The formats that introduced further kinds of command.
const (
	manifestCommandFormat = 2
	editionCommandFormat  = 3
	leaseCommandFormat    = 4
	// quarantineCommandFormat introduced quarantine.Update.
	quarantineCommandFormat = 5
	// promptPartsCommandFormat introduced the parts of prompts in a quarantine.Update.
	promptPartsCommandFormat = 6
	departureCommandFormat   = 7
	recordsCommandFormat     = 8
)

// Command is a state machine command in the replicated log: a Change, an
// edition.Put, a lease.Take, a quarantine.Update, a departure.Update, a
// resumption.RecordsUpdate, or a command of package docket or manifest.
type Command any

// envelope is the encoding of a command. Exactly one field besides Format is set.
type envelope struct {
	Format  int             `json:"format"`
	Change  *Change         `json:"change,omitempty"`
	Claim   *docket.Claim   `json:"claim,omitempty"`
	Record  *docket.Record  `json:"record,omitempty"`
	Expire  *docket.Expire  `json:"expire,omitempty"`
	Abandon *docket.Abandon `json:"abandon,omitempty"`
	// Manifest is an encoded manifest.Command, since format 2.
	Manifest json.RawMessage `json:"manifest,omitempty"`
	// Edition is present since format 3. Its content is compressed by Compress.
	Edition *edition.Put `json:"edition,omitempty"`
	// Lease is present since format 4.
	Lease *lease.Take `json:"lease,omitempty"`
	// Quarantine is present since format 5.
	Quarantine *quarantine.Update `json:"quarantine,omitempty"`
	// Departure is present since format 7.
	Departure *departure.Update `json:"departure,omitempty"`
	// Versions is present since format 8.
	Versions *resumption.RecordsUpdate `json:"versions,omitempty"`
}

// Encode returns the encoding of a command for the replicated log.
func Encode(command Command) ([]byte, error) {
	e := envelope{Format: baseCommandFormat}
	switch c := command.(type) {
	case Change:
		if c.ID == "" || len(c.Declarations) > 0 && len(c.Presets) == 0 {
			return nil, errors.AssertionFailedf("registry: change %q was not prepared", c.ID)
		}
		compressed, err := Compress(c.Declarations)
		if err != nil {
			return nil, err
		}
		c.Declarations = compressed
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
		e.Format, e.Manifest = manifestCommandFormat, encoded
	case edition.Put:
		compressed, err := Compress(c.Content)
		if err != nil {
			return nil, err
		}
		c.Content = compressed
		e.Format, e.Edition = editionCommandFormat, &c
	case lease.Take:
		e.Format, e.Lease = leaseCommandFormat, &c
	case quarantine.Update:
		e.Format, e.Quarantine = quarantineCommandFormat, &c
		if c.HasParts() {
			e.Format = promptPartsCommandFormat
		}
	case departure.Update:
		e.Format, e.Departure = departureCommandFormat, &c
	case resumption.RecordsUpdate:
		e.Format, e.Versions = recordsCommandFormat, &c
	default:
		return nil, errors.AssertionFailedf("registry: command %T", command)
	}
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "registry: encode command")
}

// formatHeader decodes the format of an envelope and ignores all other fields.
type formatHeader struct {
	Format *int `json:"format"`
}

// NewerVersionError reports a command or snapshot that a newer version wrote.
type NewerVersionError struct {
	// Subject is the unsupported format or section.
	Subject string
}

// Error names the unsupported subject and advises an upgrade.
func (e *NewerVersionError) Error() string {
	return fmt.Sprintf("registry: %s comes from a newer program; upgrade this instance", e.Subject)
}

// Decode returns the command encoded in data. If a newer version wrote data,
// Decode returns a *NewerVersionError. A voter decodes every command that another
// instance proposes, which keeps commands out of the log that voters of its
// version can't apply.
func Decode(data []byte) (Command, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var e envelope
	err := decoder.Decode(&e)
	if err != nil {
		// A newer format may have unknown fields. Decode its Format alone.
		_ = json.Unmarshal(data, &formatHeader{Format: &e.Format})
	}
	if e.Format > newestCommandFormat {
		return nil, &NewerVersionError{Subject: fmt.Sprintf("command format %d", e.Format)}
	}
	if err != nil {
		return nil, errors.Wrap(err, "registry: decode command")
	}
	if e.Change != nil {
		if e.Change.Declarations, err = Decompress(e.Change.Declarations); err != nil {
			return nil, err
		}
	}
	if e.Edition != nil {
		if e.Edition.Content, err = Decompress(e.Edition.Content); err != nil {
			return nil, err
		}
	}
	return e.command()
}

// command returns the only command in the envelope.
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
	if e.Departure != nil {
		commands = append(commands, *e.Departure)
	}
	if e.Versions != nil {
		commands = append(commands, *e.Versions)
	}
	if len(commands) != 1 {
		return nil, errors.Newf("registry: decode command: %d commands in one", len(commands))
	}
	return commands[0], nil
}

// Result is the result of an applied command. Exactly one field is set.
type Result struct {
	Change   *ChangeResult    `json:"change,omitempty"`
	Docket   *docket.Answer   `json:"docket,omitempty"`
	Manifest *manifest.Result `json:"manifest,omitempty"`
	Edition  *edition.Result  `json:"edition,omitempty"`
	// Lease is the applied lease.Take itself, which never fails.
	Lease *lease.Take `json:"lease,omitempty"`
	// Quarantine is the revision of the crash records after a quarantine.Update.
	Quarantine uint64 `json:"quarantine,omitempty"`
	// Departure is the revision of the departures after a departure.Update.
	Departure uint64 `json:"departure,omitempty"`
	// Versions is the revision of the recorded versions after a resumption.RecordsUpdate.
	Versions uint64 `json:"versions,omitempty"`
}

// Encode returns the encoding of the result, which is sent to the instance that
// proposed the command.
func (r Result) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "registry: encode result"))
	}
	return data
}

// DecodeResult is the inverse of Result.Encode.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := json.Unmarshal(data, &r)
	return r, errors.Wrap(err, "registry: decode result")
}
