// Package outcome defines what a caller is told about whether its request ran.
//
// The three words are a promise. Every place that answers a caller takes them
// from here.
package outcome

import "github.com/cockroachdb/errors"

// Header is the response header that carries an Outcome to the caller.
const Header = "Lovagelift-Outcome"

// Outcome says whether a request was run by an upstream.
//
// The zero value is Unknown, so that an outcome nobody decided never promises
// anything.
type Outcome uint8

const (
	// Unknown means that an upstream may or may not have run the request.
	Unknown Outcome = iota
	// NotRun means that no upstream has run the request, nor ever will: no byte
	// of it can have reached one, or the upstream said that it refused it
	// before running.
	NotRun
	// Ran means that an upstream ran the request, wholly or in part.
	Ran
)

// String returns the word that is sent to callers: "not-run", "unknown" or "ran".
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

// Parse returns the Outcome that word names. If word is none of the three
// words, Parse returns an error.
func Parse(word string) (Outcome, error) {
	for _, o := range []Outcome{Unknown, NotRun, Ran} {
		if o.String() == word {
			return o, nil
		}
	}
	return Unknown, errors.Newf("outcome: %q is none of not-run, unknown and ran", word)
}

// MarshalText returns the word that is sent to callers.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(o.String()), nil
}

// UnmarshalText sets o to the Outcome that text names.
func (o *Outcome) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*o = parsed
	return nil
}
