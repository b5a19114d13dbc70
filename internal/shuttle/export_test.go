package shuttle

// StreamWithTimeout is StreamBody with a configurable write timeout.
var StreamWithTimeout = streamWithTimeout
