package instance

import (
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/badge"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/settings"
)

// Options configures an Instance.
type Options struct {
	// Settings must be valid, see package settings.
	Settings settings.Settings
	// Listeners must be open. The instance closes them.
	Listeners Listeners
	// Dial connects to another instance. Nil means TCP without TLS.
	Dial courier.Dial
	// Operators and Upstreams contain the valid tokens. If one is nil, no token is
	// required.
	Operators *badge.Tokens
	Upstreams *badge.Tokens
	// MaxResponsePause is the longest pause within an upstream's response before
	// the response counts as broken off. 0 means the default of package shuttle.
	MaxResponsePause time.Duration
	// Version is the version of the program.
	Version string
	Log     zerolog.Logger
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
}

// Listeners are the listening sockets of an instance. Inner is for other instances.
type Listeners struct {
	Caller   net.Listener
	Upstream net.Listener
	Operator net.Listener
	Inner    net.Listener
}

// Close closes all listeners that are not nil.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Caller, l.Upstream, l.Operator, l.Inner} {
		if listener != nil {
			listener.Close()
		}
	}
}

const (
	// pullInterval is the time between two roster pulls from the same instance. All
	// instances know that an upstream is leaving after two pulls.
	pullInterval = 250 * time.Millisecond
	// remoteDomainDelay is the approximate one-way latency to another failure domain.
	// Among otherwise equal upstreams, it favors those in the instance's own domain.
	remoteDomainDelay = time.Millisecond
	// callTimeout limits one RPC between instances.
	callTimeout = time.Second
)

// tokenHolder returns a function that looks up the holder of a token. If tokens is nil,
// every token is valid and its holder is anonymous.
func tokenHolder(tokens *badge.Tokens, anonymous string) func(token string) (string, bool) {
	if tokens == nil {
		return func(string) (string, bool) { return anonymous, true }
	}
	return tokens.Holder
}
