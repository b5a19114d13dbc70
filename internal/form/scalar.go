package form

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/gommon/bytes"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxSizeBytes is the maximum size, so that sums of thousands of sizes fit in an
// int64.
const maxSizeBytes = 1 << 50

// Text returns the string at key, or fallback if key is absent or invalid. An empty
// string is invalid.
func (r *Reader) Text(key, fallback string) string {
	v := r.lookupKind(key, "a text", `"..."`, unstable.String)
	if v == nil {
		return fallback
	}
	if v.text == "" {
		r.addInvalidValue(key, v, "is empty", `"..."`)
		return fallback
	}
	return v.text
}

// Enum returns the string at key, or fallback if key is absent or its value is not
// one of choices.
func (r *Reader) Enum(key, fallback string, choices ...string) string {
	v := r.lookupKind(key, "a text", strconv.Quote(choices[0]), unstable.String)
	if v == nil {
		return fallback
	}
	for _, choice := range choices {
		if v.text == choice {
			return choice
		}
	}
	advice := "write one of " + strings.Join(choices, ", ")
	if nearest, ok := Nearest(v.text, choices); ok {
		advice = fmt.Sprintf("write %q", nearest)
	}
	r.invalid[key] = true
	r.findings.Add(v.place, fmt.Sprintf("%q cannot be %q", key, v.text), advice)
	return fallback
}

// Texts returns the strings of the array at key. It leaves out elements of other
// types, which have findings.
func (r *Reader) Texts(key string) []Text {
	v := r.lookupKind(key, "an array of texts", `["..."]`, unstable.Array)
	if v == nil {
		return nil
	}
	texts := make([]Text, 0, len(v.items))
	for _, item := range v.items {
		if item.kind != unstable.String {
			r.addWrongType(key, item, "an array of texts", `["..."]`)
			continue
		}
		texts = append(texts, Text{Value: item.text, Place: item.place})
	}
	return texts
}

// Bool returns the boolean at key, or fallback if key is absent or invalid.
func (r *Reader) Bool(key string, fallback bool) bool {
	v := r.lookupKind(key, "true or false", "true", unstable.Bool)
	if v == nil {
		return fallback
	}
	return v.text == "true"
}

// Int returns the integer at key, or fallback if key is absent or invalid. Integers
// below minimum or above maximum are invalid.
func (r *Reader) Int(key string, fallback, minimum, maximum int) int {
	example := strconv.Itoa(max(minimum, min(fallback, maximum)))
	v := r.lookupKind(key, "a whole number", example, unstable.Integer)
	if v == nil {
		return fallback
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(v.text, "_", ""), 0, 64)
	if err != nil || n < int64(minimum) || n > int64(maximum) {
		r.addInvalidValue(key, v, fmt.Sprintf("must be from %d to %d, not %s", minimum, maximum, v.text), example)
		return fallback
	}
	return int(n)
}

// Float returns the float or integer at key, or fallback if key is absent or
// invalid. Numbers below minimum or above maximum are invalid.
func (r *Reader) Float(key string, fallback, minimum, maximum float64) float64 {
	example := strconv.FormatFloat(max(minimum, min(fallback, maximum)), 'g', -1, 64)
	v := r.lookupKind(key, "a number", example, unstable.Float, unstable.Integer)
	if v == nil {
		return fallback
	}
	n, err := strconv.ParseFloat(strings.ReplaceAll(v.text, "_", ""), 64)
	if err != nil || math.IsNaN(n) || n < minimum || n > maximum {
		r.addInvalidValue(key, v, fmt.Sprintf("must be from %g to %g, not %s", minimum, maximum, v.text), example)
		return fallback
	}
	return n
}

// Duration returns the duration at key, or fallback if key is absent or invalid.
// Its value is a string in the syntax of time.ParseDuration, such as "540ms".
// Durations below minimum or above maximum are invalid.
func (r *Reader) Duration(key string, fallback, minimum, maximum time.Duration) time.Duration {
	example := strconv.Quote(max(minimum, min(fallback, maximum)).String())
	v := r.lookupKind(key, "a duration with its unit", example, unstable.String)
	if v == nil {
		return fallback
	}
	d, err := time.ParseDuration(v.text)
	if err != nil {
		r.addInvalidValue(key, v, fmt.Sprintf("is no duration: %q", v.text), example)
		return fallback
	}
	if d < minimum || d > maximum {
		r.addInvalidValue(key, v, fmt.Sprintf("must be from %s to %s, not %s", minimum, maximum, v.text), example)
		return fallback
	}
	return d
}

// Size returns the size in bytes at key, or fallback if key is absent or invalid.
// Its value is a string with a unit, such as "24 GiB". Sizes below minimum or above
// maxSizeBytes are invalid.
func (r *Reader) Size(key string, fallback, minimum int64) int64 {
	v := r.lookupKind(key, "a size with its unit", `"24 GiB"`, unstable.String)
	if v == nil {
		return fallback
	}
	n, err := bytes.Parse(v.text)
	if err != nil || !strings.HasSuffix(strings.ToUpper(v.text), "B") {
		r.addInvalidValue(key, v, fmt.Sprintf("is no size: %q", v.text), `"24 GiB"`)
		return fallback
	}
	if n < minimum {
		r.addInvalidValue(key, v, fmt.Sprintf("must be at least %d B, not %s", minimum, v.text), `"24 GiB"`)
		return fallback
	}
	if n > maxSizeBytes {
		r.addInvalidValue(key, v, fmt.Sprintf("must be at most %d TiB, not %s", maxSizeBytes>>40, v.text), `"24 GiB"`)
		return fallback
	}
	return n
}

// Address returns the IP address and port at key, or fallback if key is absent or
// invalid. Host names are invalid, since instances connect to each other by IP
// address, and so is port 0.
func (r *Reader) Address(key string, fallback netip.AddrPort) netip.AddrPort {
	v := r.lookupKind(key, "an IP number and a port", `"127.0.0.1:7600"`, unstable.String)
	if v == nil {
		return fallback
	}
	address, err := netip.ParseAddrPort(v.text)
	if err != nil || address.Port() == 0 {
		r.addInvalidValue(key, v, fmt.Sprintf("must be an IP number and a port, not %q", v.text), `"127.0.0.1:7600"`)
		return fallback
	}
	return address
}

// lookupKind marks key as known and returns its value, or nil if it is absent. If
// the kind of the value is not one of kinds, lookupKind adds a finding and returns
// nil. want and example describe the expected value in the finding.
func (r *Reader) lookupKind(key, want, example string, kinds ...unstable.Kind) *value {
	v := r.lookup(key)
	if v == nil {
		return nil
	}
	for _, kind := range kinds {
		if v.kind == kind {
			return v
		}
	}
	r.addWrongType(key, v, want, example)
	return nil
}
