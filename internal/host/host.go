// Package host runs one instance from its settings until it is told to stop
// (process main loop).
package host

import (
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/instance"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/seal"
	"github.com/lovagelift/lovagelift/internal/settings"
)

// Options configures Run.
type Options struct {
	// SettingsPath is the TOML file of the instance's settings.
	SettingsPath string
	// Example starts the built-in example instead.
	Example bool
	// CallerAddress replaces the example's address for callers, if it is not
	// empty.
	CallerAddress string
	// Version is the version of the program.
	Version string
	// Log receives JSON lines.
	Log io.Writer
}

// Run serves until ctx ends or an operator asks for a planned stop, and then
// stops gracefully. If the settings are wrong, Run starts nothing and returns a
// *finding.Error.
func Run(ctx context.Context, options Options) error {
	if options.Example {
		return runExample(ctx, options)
	}
	set, err := settings.Load(options.SettingsPath)
	if err != nil {
		return err
	}
	log := newLog(options.Log, set)
	running, err := start(ctx, set, options.Version, log)
	if err != nil {
		return err
	}
	log.Info().Str("caller-address", set.Advertise.Caller.String()).Msg("instance started")
	go func() {
		if awaitServing(ctx, running, 0) {
			log.Info().Str("caller-address", set.Advertise.Caller.String()).Msg("instance serves")
		}
	}()
	return serve(ctx, running, set)
}

// servingEvery is how often a starting instance looks whether it serves.
const servingEvery = 20 * time.Millisecond

// awaitServing waits until an instance admits requests, callers are told of one to
// use, and it knows so many upstreams.
// It returns false if ctx ends before. An instance that says that it serves while it
// refuses everybody misleads whoever waits for the line.
func awaitServing(ctx context.Context, running *instance.Instance, upstreams int) bool {
	for {
		now := time.Now()
		listed := len(running.Entries(now, "").List) > 0
		if running.Admits(now) == nil && listed && len(running.Upstreams(now)) >= upstreams {
			return true
		}
		if !pause.For(ctx, servingEvery) {
			return false
		}
	}
}

// serve waits until it is time to stop, and drains.
func serve(ctx context.Context, running *instance.Instance, set settings.Settings) error {
	select {
	case <-ctx.Done():
	case <-running.DrainAsked():
	}
	return drain(running, set)
}

// drain stops the instance gracefully. A drain that takes longer than expected
// goes on: it cuts off no request.
func drain(running *instance.Instance, set settings.Settings) error {
	expected, cancel := context.WithTimeout(context.Background(), drainFactor*set.Timing.DrainTime)
	defer cancel()
	return running.Drain(expected)
}

// drainFactor is how many drain times pass before a stop takes the requests that
// are still open for lost. A caller's deadline has long passed by then.
const drainFactor = 10

func newLog(out io.Writer, set settings.Settings) zerolog.Logger {
	level, err := zerolog.ParseLevel(string(set.LogLevel))
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(out).Level(level).With().Timestamp().Str("instance", set.Name).Logger()
}

// start opens the files and listeners and starts an instance on them. Addresses
// that name no port get one.
func start(
	ctx context.Context, set settings.Settings, version string, log zerolog.Logger,
) (*instance.Instance, error) {
	opened, err := openFiles(set, log)
	if err != nil {
		return nil, err
	}
	options := instance.Options{
		Settings:  set,
		Dial:      dialer(opened.inner),
		Operators: opened.operatorTokens,
		Upstreams: opened.upstreamTokens,
		Version:   version,
		Log:       log,
	}
	advertise := &options.Settings.Advertise
	for _, each := range []struct {
		listen    netip.AddrPort
		advertise *netip.AddrPort
		sealed    *seal.Seal
		listener  *net.Listener
	}{
		{set.Listen.Caller, &advertise.Caller, opened.callers, &options.Listeners.Caller},
		{set.Listen.Upstream, &advertise.Upstream, opened.upstreams, &options.Listeners.Upstream},
		{set.Listen.Operator, &advertise.Operator, opened.operators, &options.Listeners.Operator},
		{set.Listen.Inner, &advertise.Inner, opened.inner, &options.Listeners.Inner},
	} {
		listener, err := listen(ctx, each.listen.String())
		if err != nil {
			options.Listeners.Close()
			return nil, err
		}
		if each.advertise.Port() == 0 {
			*each.advertise = listener.Addr().(*net.TCPAddr).AddrPort()
		}
		*each.listener = secured(listener, each.sealed)
	}
	if opened.inner != nil {
		options.Listeners.Inner = handshakeListener{Listener: options.Listeners.Inner, timeout: set.Limits.HeaderTime}
	}
	return instance.New(options)
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "host: listening on %s", address)
}
