// Package bodysize recognizes responses without an end by their size.
package bodysize

// Longest holds the size of the longest complete response of each service. Use a map literal or make.
type Longest map[string]int64

// excessFactor is how many times as long as the longest complete response of its service an unfinished
// one has to be to count as one without an end.
const excessFactor = 8

// Observe records a complete response.
func (l Longest) Observe(service string, bytes int64) {
	if bytes > l[service] {
		l[service] = bytes
	}
}

// IsExcessive reports whether an unfinished response is so long that its upstream does not seem to end
// it. Up to minimum bytes, none is.
func (l Longest) IsExcessive(service string, bytes, minimum int64) bool {
	return bytes > max(minimum, excessFactor*l[service])
}
