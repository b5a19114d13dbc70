package counter

import "github.com/cockroachdb/errors"

// An instance that has lost its path to an upstream sends the request to another instance, which
// sends it on to that upstream and to no other. All decisions on the request, its retries and its
// quota stay with the first one. A relayed request is never relayed again.

// Headers between the two instances. They never reach callers or upstreams.
const (
	relayHeaderPrefix = "Lovagelift-Relay-"
	// relayUpstreamHeader names the upstream.
	relayUpstreamHeader = relayHeaderPrefix + "Upstream"
	// relayRequestHeader is the request's ID, for the log.
	relayRequestHeader = relayHeaderPrefix + "Request"
	// relayTimeoutHeader is the remaining time of the request in milliseconds.
	relayTimeoutHeader = relayHeaderPrefix + "Timeout-Ms"
	// relayIdempotentHeader tells whether the request is idempotent: true or false.
	relayIdempotentHeader = relayHeaderPrefix + "Idempotent"
	// relaySoftwareHeader is the software version of the upstream as the first instance knows it. It is
	// absent if the upstream is unknown there.
	relaySoftwareHeader = relayHeaderPrefix + "Software-Version"
	// relayResultHeader is the relayResult of a response.
	relayResultHeader = relayHeaderPrefix + "Result"
)

// relayResult tells where the response to a relayed request comes from. All results but
// relayAnswered mean that nothing was sent to the upstream.
type relayResult string

const (
	// relayAnswered means that the response is the upstream's.
	relayAnswered relayResult = "answered"
	// relayUnreachable means that the upstream cannot be reached from there, although others of its
	// service can, and relayUnwanted that it wants no requests or has another software version.
	relayUnreachable relayResult = "unreachable"
	relayUnwanted    relayResult = "unwanted"
	// relayUnavailable means that the instance cannot relay to the service now: it has no path
	// either, does not know the upstream, is draining or has no capacity.
	relayUnavailable relayResult = "unavailable"
	// relayInvalid means that the request could not be read.
	relayInvalid relayResult = "invalid"
	// relayFailed stands in logs and metrics for a request without a result.
	relayFailed relayResult = "failed"
)

var (
	// errNoRelay means that no other instance could send the request.
	errNoRelay = errors.New("counter: no path to the upstream, and no other instance has one")
	// errRelayRejected means that another instance found that the upstream cannot be used.
	errRelayRejected = errors.New("counter: another instance cannot use the upstream either")
	// errRelayUnclear means that an instance has neither relayed a response nor rejected the
	// request.
	errRelayUnclear = errors.New("counter: the response to a relayed request is not the upstream's")
)
