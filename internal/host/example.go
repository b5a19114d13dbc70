package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/instance"
	"github.com/lovagelift/lovagelift/internal/registrar"
	"github.com/lovagelift/lovagelift/internal/settings"
	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const (
	exampleName    = "example"
	exampleAnyPort = "127.0.0.1:0"
	exampleDomain  = "example"
	exampleModel   = "example-model"
	exampleService = "seat-check"
)

// The example's engine simulates a small model on one accelerator.
const (
	exampleFirstTokenDelay = 40 * time.Millisecond
	exampleTokenInterval   = 15 * time.Millisecond
	exampleMemoryBytes     = 16 << 30
	exampleModelBytes      = 8 << 30
	exampleTimeout         = 5 * time.Second
)

// example is one instance with a simulated engine and a simulated plain service,
// which announce themselves like any other upstream.
type example struct {
	instance *instance.Instance
	engine   *standin.Engine
	service  *standin.Service
	servers  []*http.Server
}

// runExample runs the example until ctx ends or an operator requests a drain, and then
// deletes its state.
func runExample(ctx context.Context, options Options) error {
	folder, err := os.MkdirTemp("", "lovagelift-example-")
	if err != nil {
		return errors.Wrap(err, "host: the example's data folder")
	}
	defer os.RemoveAll(folder)
	configured, err := exampleSettings(options.CallerAddress, folder)
	if err != nil {
		return err
	}
	log := newLog(options.Log, configured)
	running, err := startExample(ctx, configured, options.Version, log)
	if err != nil {
		return err
	}
	if awaitReady(ctx, running.instance, exampleUpstreams) {
		log.Info().Stringer("caller-address", configured.Advertise.Caller).Str("model", exampleModel).Msg("example is ready")
	}
	select {
	case <-ctx.Done():
	case <-running.instance.DrainRequested():
	}
	running.stop(log)
	return nil
}

// exampleUpstreams counts the engine and the service of the example.
const exampleUpstreams = 2

// exampleSettings returns the settings of a single instance that is the only voter.
func exampleSettings(callerAddress, folder string) (settings.Settings, error) {
	configured := settings.Default()
	configured.Name = exampleName
	configured.FailureDomain = exampleDomain
	configured.Voter = true
	configured.DataFolder = folder
	anyPort := netip.MustParseAddrPort(exampleAnyPort)
	if callerAddress != "" {
		address, err := netip.ParseAddrPort(callerAddress)
		if err != nil {
			return configured, errors.Wrap(err, "host: the example's caller address")
		}
		// If the caller port is overridden, the other default ports may be in use as
		// well.
		configured.Listen = settings.Addresses{Caller: address, Upstream: anyPort, Operator: anyPort, Inner: anyPort}
	}
	configured.Advertise = configured.Listen
	return configured, nil
}

// startExample starts the example. If that fails, it stops everything that it started.
func startExample(
	ctx context.Context, configured settings.Settings, version string, log zerolog.Logger,
) (*example, error) {
	running, err := start(ctx, configured, version, log)
	if err != nil {
		return nil, err
	}
	e := &example{instance: running}
	if err := e.bootstrap(ctx, log); err != nil {
		e.stop(log)
		return nil, err
	}
	return e, nil
}

// bootstrap bootstraps the cluster and starts the simulated upstreams.
func (e *example) bootstrap(ctx context.Context, log zerolog.Logger) error {
	if err := e.instance.Bootstrap(ctx, registrar.Origin{}); err != nil {
		return err
	}
	announce := standin.AnnounceOptions{To: []string{e.instance.UpstreamAddress()}}
	if err := e.startEngine(ctx, announce, log); err != nil {
		return err
	}
	return e.startService(ctx, announce, log)
}

func (e *example) startEngine(ctx context.Context, announce standin.AnnounceOptions, log zerolog.Logger) error {
	listener, err := listen(ctx, exampleAnyPort)
	if err != nil {
		return err
	}
	e.engine = standin.NewEngine(standin.EngineOptions{
		Name:          "example-engine",
		Address:       listener.Addr().String(),
		FailureDomain: exampleDomain,
		Fencing:       upstreamapi.FencingChecked,
		Accelerators:  []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: exampleMemoryBytes}},
		Resident: []upstreamapi.Resident{{
			Model:        exampleModel,
			Accelerators: []string{"a0"},
			MemoryBytes:  exampleModelBytes,
		}},
		FirstTokenDelay: exampleFirstTokenDelay,
		TokenDelay:      exampleTokenInterval,
		Announce:        announce,
	})
	e.serveHTTP(listener, e.engine, log)
	return nil
}

func (e *example) startService(ctx context.Context, announce standin.AnnounceOptions, log zerolog.Logger) error {
	listener, err := listen(ctx, exampleAnyPort)
	if err != nil {
		return err
	}
	e.service = standin.NewService(standin.ServiceOptions{
		Name:          "example-service",
		Address:       listener.Addr().String(),
		FailureDomain: exampleDomain,
		Services:      []string{exampleService},
		Announce:      announce,
	})
	e.serveHTTP(listener, e.service, log)
	return nil
}

func (e *example) serveHTTP(listener net.Listener, handler http.Handler, log zerolog.Logger) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: exampleTimeout}
	e.servers = append(e.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Msg("example upstream failed")
		}
	}()
}

// stop stops the simulated upstreams and the instance.
func (e *example) stop(log zerolog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), exampleTimeout)
	defer cancel()
	if e.engine != nil {
		if err := e.engine.Close(ctx); err != nil {
			log.Warn().Err(err).Msg("engine failed to announce that it is leaving")
		}
	}
	if e.service != nil {
		if err := e.service.Close(ctx); err != nil {
			log.Warn().Err(err).Msg("service failed to announce that it is leaving")
		}
	}
	e.instance.Close()
	for _, server := range e.servers {
		server.Close()
	}
}
