package upstreamapi

// MaxHeaderBytes bounds the head of a response that is read from an upstream or an instance, together
// with the interim responses before it. A server in trouble may send a head without end, and without
// this bound each such response takes megabytes before it fails.
const MaxHeaderBytes = 64 << 10
