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
	// Settings are valid, see package settings.
	Settings settings.Settings
	// Listeners are open; the instance closes them.
	Listeners Listeners
	// Dial connects to another instance. Nil stands for TCP without TLS.
	Dial courier.Dial
	// Operators and Upstreams hold the tokens that may be shown. If one is nil,
	// none is asked for.
	Operators *badge.Book
	Upstreams *badge.Book
	// AnswerPause is how long an upstream's answer may pause before it counts as
	// cut off. 0 stands for the default of package shuttle.
	AnswerPause time.Duration
	// Version is the version of the program.
	Version string
	Log     zerolog.Logger
	// Now returns the present time. Nil stands for time.Now.
	Now func() time.Time
}

// Listeners are where an instance is reached.
type Listeners struct {
	Caller   net.Listener
	Upstream net.Listener
	Operator net.Listener
	Inner    net.Listener
}

// Close closes those that are open.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Caller, l.Upstream, l.Operator, l.Inner} {
		if listener != nil {
			listener.Close()
		}
	}
}

// The intervals that no setting changes.
const (
	// pullEvery is the time between two pulls of another's roster. An upstream
	// that leaves is known everywhere after two pulls.
	pullEvery = 250 * time.Millisecond
	// remoteDelay is about the time one way to another failure domain, as the
	// users give it. It makes the upstreams of one's own domain go first among
	// equals.
	remoteDelay = time.Millisecond
	// callTimeout bounds one call between instances.
	callTimeout = time.Second
)

// holder returns the check of tokens that book stands for.
func holder(book *badge.Book, nobody string) func(token string) (string, bool) {
	if book == nil {
		return func(string) (string, bool) { return nobody, true }
	}
	return book.Holder
}
