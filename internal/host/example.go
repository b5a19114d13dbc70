package host

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/instance"
	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// The example's addresses and names.
const (
	exampleCallerAddress = "127.0.0.1:7600"
	exampleAnyPort       = "127.0.0.1:0"
	exampleDomain        = "example"
	exampleModel         = "example-model"
	exampleService       = "seat-check"
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

// newExample starts the example. Its state is gone when it ends.
func newExample(ctx context.Context, address string, log zerolog.Logger) (*example, error) {
	if address == "" {
		address = exampleCallerAddress
	}
	callers, err := listen(ctx, address)
	if err != nil {
		return nil, err
	}
	upstreams, err := listen(ctx, exampleAnyPort)
	if err != nil {
		return nil, err
	}
	inner, err := listen(ctx, exampleAnyPort)
	if err != nil {
		return nil, err
	}
	e := &example{}
	e.instance, err = instance.New(instance.Options{
		Name:             "example",
		FailureDomain:    exampleDomain,
		CallerListener:   callers,
		UpstreamListener: upstreams,
		InnerListener:    inner,
		Log:              log,
	})
	if err != nil {
		return nil, err
	}
	announce := standin.AnnounceOptions{To: []string{upstreams.Addr().String()}}
	if err := e.startEngine(ctx, announce, log); err != nil {
		return nil, err
	}
	if err := e.startService(ctx, announce, log); err != nil {
		return nil, err
	}
	return e, nil
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

// stop drains the instance and ends the stand-ins.
func (e *example) stop(log zerolog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), exampleStopTime)
	defer cancel()
	if err := e.engine.Close(ctx); err != nil {
		log.Warn().Err(err).Msg("engine not taken off")
	}
	if err := e.service.Close(ctx); err != nil {
		log.Warn().Err(err).Msg("service not taken off")
	}
	e.instance.Close()
	for _, server := range e.servers {
		server.Close()
	}
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "host: listening on %s", address)
}
