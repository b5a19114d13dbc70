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

// The example's addresses and names.
const (
	exampleName    = "example"
	exampleAnyPort = "127.0.0.1:0"
	exampleDomain  = "example"
	exampleModel   = "example-model"
	exampleService = "seat-check"
)

// The example's engine is as fast as a small model on one accelerator.
const (
	exampleFirstToken  = 40 * time.Millisecond
	exampleTokenDelay  = 15 * time.Millisecond
	exampleMemoryBytes = 16 << 30
	exampleModelBytes  = 8 << 30
	exampleStopTime    = 5 * time.Second
)

// example is one instance with a stand-in engine and a stand-in plain service
// that announce themselves as any other upstream would.
type example struct {
	instance *instance.Instance
	engine   *standin.Engine
	service  *standin.Service
	servers  []*http.Server
}

// runExample serves the example until ctx ends.
func runExample(ctx context.Context, options Options) error {
	folder, err := os.MkdirTemp("", "lovagelift-example-")
	if err != nil {
		return errors.Wrap(err, "host: the example's data folder")
	}
	defer os.RemoveAll(folder)
	set, err := exampleSettings(options.CallerAddress, folder)
	if err != nil {
		return err
	}
	log := newLog(options.Log, set)
	running, err := newExample(ctx, set, options.Version, log)
	if err != nil {
		return err
	}
	if awaitServing(ctx, running.instance, exampleUpstreams) {
		log.Info().Stringer("caller-address", set.Advertise.Caller).Str("model", exampleModel).Msg("example serves")
	}
	select {
	case <-ctx.Done():
	case <-running.instance.DrainAsked():
	}
	running.stop(log)
	return nil
}

// exampleUpstreams are the engine and the service of the example.
const exampleUpstreams = 2

// exampleSettings are those of one instance that is the only voter.
func exampleSettings(callerAddress, folder string) (settings.Settings, error) {
	set := settings.Default()
	set.Name = exampleName
	set.FailureDomain = exampleDomain
	set.Voter = true
	set.DataFolder = folder
	anyPort := netip.MustParseAddrPort(exampleAnyPort)
	if callerAddress != "" {
		address, err := netip.ParseAddrPort(callerAddress)
		if err != nil {
			return set, errors.Wrap(err, "host: the example's caller address")
		}
		// Another port for callers means that the usual ones may be taken.
		set.Listen = settings.Addresses{Caller: address, Upstream: anyPort, Operator: anyPort, Inner: anyPort}
	}
	set.Advertise = set.Listen
	return set, nil
}

// newExample starts the example. Its state is gone when it ends.
func newExample(
	ctx context.Context, set settings.Settings, version string, log zerolog.Logger,
) (*example, error) {
	running, err := start(ctx, set, version, log)
	if err != nil {
		return nil, err
	}
	e := &example{instance: running}
	if err := e.open(ctx, log); err != nil {
		e.stop(log)
		return nil, err
	}
	return e, nil
}

// open founds the cluster and starts the stand-ins.
func (e *example) open(ctx context.Context, log zerolog.Logger) error {
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
		FirstTokenDelay: exampleFirstToken,
		TokenDelay:      exampleTokenDelay,
		Announce:        announce,
	})
	e.serve(listener, e.engine, log)
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
	e.serve(listener, e.service, log)
	return nil
}

func (e *example) serve(listener net.Listener, handler http.Handler, log zerolog.Logger) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: exampleStopTime}
	e.servers = append(e.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Msg("stand-in failed")
		}
	}()
}

// stop ends the stand-ins and the instance.
func (e *example) stop(log zerolog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), exampleStopTime)
	defer cancel()
	if e.engine != nil {
		if err := e.engine.Close(ctx); err != nil {
			log.Warn().Err(err).Msg("engine not taken off")
		}
	}
	if e.service != nil {
		if err := e.service.Close(ctx); err != nil {
			log.Warn().Err(err).Msg("service not taken off")
		}
	}
	e.instance.Close()
	for _, server := range e.servers {
		server.Close()
	}
}
