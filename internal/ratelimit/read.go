package ratelimit

import (
	"strconv"
	"strings"
)

// maxUnclear bounds what is kept of a header that can't be read, in bytes.
const maxUnclear = 64

// Read returns what the values of the header in which upstreams name their limits say, one
// for each time that it stands in an answer. A limit is a decimal number of requests a
// second.
func Read(values []string) Said {
	if len(values) == 0 {
		return Unnamed{}
	}
	number, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if limit := Limit(number); err == nil && len(values) == 1 && limit.Valid() {
		return Named{Limit: limit}
	}
	text := strings.Join(values, ", ")
	return Unclear{Text: text[:min(len(text), maxUnclear)]}
}
