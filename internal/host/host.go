// Package host is the main loop of the server process: it starts one instance from
// its settings file and runs it until shutdown.
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
	// Example runs the built-in example instead of an instance with a settings file.
	Example bool
	// CallerAddress overrides the example's listen address for callers if it is not
	// empty.
	CallerAddress string
	// Version is the version of the program.
	Version string
	// Log receives JSON lines.
	Log io.Writer
}

// Run runs an instance until ctx ends or an operator requests a drain, and then
// shuts it down gracefully. If the settings are invalid, Run starts nothing and
// returns a *finding.Error.
func Run(ctx context.Context, options Options) error {
	if options.Example {
		return runExample(ctx, options)
	}
	configured, err := settings.Load(options.SettingsPath)
	if err != nil {
		return err
	}
	log := newLog(options.Log, configured)
	running, err := start(ctx, configured, options.Version, log)
	if err != nil {
		return err
	}
	log.Info().Str("caller-address", configured.Advertise.Caller.String()).Msg("instance started")
	go func() {
		if awaitReady(ctx, running, 0) {
			log.Info().Str("caller-address", configured.Advertise.Caller.String()).Msg("instance is ready")
		}
	}()
	return serve(ctx, running, configured)
}

const readyPollInterval = 20 * time.Millisecond

// awaitReady waits until the instance admits requests, lists at least one instance to
// callers, and knows at least the given number of upstreams. It returns false if ctx
// ends earlier. Requests sent before that point are refused, so the instance must not
// log that it is ready any earlier.
func awaitReady(ctx context.Context, running *instance.Instance, upstreams int) bool {
	for {
		now := time.Now()
		hasEntry := len(running.Entries(now, "").Instances) > 0
		if running.CheckAdmission(now) == nil && hasEntry && len(running.Upstreams(now)) >= upstreams {
			return true
		}
		if !pause.For(ctx, readyPollInterval) {
			return false
		}
	}
}

// serve waits until ctx ends or an operator requests a drain, and then drains the
// instance.
func serve(ctx context.Context, running *instance.Instance, configured settings.Settings) error {
	select {
	case <-ctx.Done():
	case <-running.DrainRequested():
	}
	return drain(running, configured)
}

// drain shuts the instance down gracefully. A drain that exceeds DrainTime continues
// without aborting requests, up to drainTimeoutFactor times DrainTime.
func drain(running *instance.Instance, configured settings.Settings) error {
	timeoutCtx, cancel := context.WithTimeout(context.Background(), drainTimeoutFactor*configured.Timing.DrainTime)
	defer cancel()
	return running.Drain(timeoutCtx)
}

// drainTimeoutFactor is the maximum duration of a drain in multiples of DrainTime. By
// then, the deadlines of all callers have long passed, and open requests are aborted.
const drainTimeoutFactor = 10

func newLog(out io.Writer, configured settings.Settings) zerolog.Logger {
	level, err := zerolog.ParseLevel(string(configured.LogLevel))
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(out).Level(level).With().Timestamp().Str("instance", configured.Name).Logger()
}

// start loads the files named in the settings, opens the listeners, and starts an
// instance on them. For port 0, the advertised address gets the port that the system
// assigned.
func start(
	ctx context.Context, configured settings.Settings, version string, log zerolog.Logger,
) (*instance.Instance, error) {
	loaded, err := loadFiles(configured, log)
	if err != nil {
		return nil, err
	}
	options := instance.Options{
		Settings:  configured,
		Dial:      newDial(loaded.innerTLS),
		Operators: loaded.operatorTokens,
		Upstreams: loaded.upstreamTokens,
		Version:   version,
		Log:       log,
	}
	advertise := &options.Settings.Advertise
	for _, endpoint := range []struct {
		listen    netip.AddrPort
		advertise *netip.AddrPort
		tlsFiles  *seal.Reloader
		listener  *net.Listener
	}{
		{configured.Listen.Caller, &advertise.Caller, loaded.callerTLS, &options.Listeners.Caller},
		{configured.Listen.Upstream, &advertise.Upstream, loaded.upstreamTLS, &options.Listeners.Upstream},
		{configured.Listen.Operator, &advertise.Operator, loaded.operatorTLS, &options.Listeners.Operator},
		{configured.Listen.Inner, &advertise.Inner, loaded.innerTLS, &options.Listeners.Inner},
	} {
		listener, err := listen(ctx, endpoint.listen.String())
		if err != nil {
			options.Listeners.Close()
			return nil, err
		}
		if endpoint.advertise.Port() == 0 {
			*endpoint.advertise = listener.Addr().(*net.TCPAddr).AddrPort()
		}
		*endpoint.listener = withTLS(listener, endpoint.tlsFiles)
	}
	if loaded.innerTLS != nil {
		options.Listeners.Inner = handshakeListener{Listener: options.Listeners.Inner, timeout: configured.Limits.HeaderTime}
	}
	return instance.New(options)
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "host: listening on %s", address)
}
