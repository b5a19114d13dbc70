package ratelimit

import (
	"strconv"
	"strings"
)

// maxInvalidBytes is the largest number of bytes kept of an invalid value.
const maxInvalidBytes = 64

// ParseHeader parses the values of the header in which upstreams state their limits. values has
// one element for each occurrence of the header in the response. A valid response has one,
// a decimal number of requests a second.
func ParseHeader(values []string) Observation {
	if len(values) == 0 {
		return NoLimit{}
	}
	number, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if limit := Limit(number); err == nil && len(values) == 1 && limit.Valid() {
		return NamedLimit{Limit: limit}
	}
	text := strings.Join(values, ", ")
	return InvalidLimit{Text: text[:min(len(text), maxInvalidBytes)]}
}
