package shuttle

// StreamWithTimeout is Stream with a configurable write timeout.
var StreamWithTimeout = streamWithTimeout
