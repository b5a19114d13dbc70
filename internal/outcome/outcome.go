// Package outcome defines the request outcomes that are reported to callers: whether a request
// ran.
//
// Callers rely on these values to decide whether they may send a request again. All code that
// responds to callers uses this package.
package outcome

import "github.com/cockroachdb/errors"

// Header is the response header with the Outcome.
const Header = "Lovagelift-Outcome"

// Outcome is whether an upstream ran a request.
//
// The zero value is Unknown, so that an unset outcome promises nothing.
type Outcome uint8

const (
	// Unknown means that an upstream may or may not have run the request.
	Unknown Outcome = iota
	// NotRun means that no upstream has run the request or will run it: either no byte of it
	// can have reached an upstream, or the upstream reported that it refused the request before
	// running it.
	NotRun
	// Ran means that an upstream ran the request, completely or partially.
	Ran
)

// String returns the value sent to callers: "not-run", "unknown" or "ran".
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Parse is the inverse of String. It returns an error for any other text.
func Parse(text string) (Outcome, error) {
	for _, o := range []Outcome{Unknown, NotRun, Ran} {
		if o.String() == text {
			return o, nil
		}
	}
	return Unknown, errors.Newf("outcome: %q is none of not-run, unknown and ran", text)
}

// MarshalText returns the value sent to callers.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(o.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outcome) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*o = parsed
	return nil
}
