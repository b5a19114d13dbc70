package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const (
	// model and service are declared in the example's declarations.
	model   = "juror-chat"
	service = "submissions"

	enginesOfAll   = 2
	servicesOfAll  = 2
	upstreamsOfAll = enginesOfAll + servicesOfAll

	headerTimeout = 5 * time.Second
	gibibyte      = 1 << 30
)

// upstreams are stand-ins in this process, which count what they run.
type upstreams struct {
	servers  []*http.Server
	engines  []*standin.Engine
	services []*standin.Service
}

func newUpstreams(ctx context.Context, d *deployment) (*upstreams, error) {
	u := &upstreams{}
	announce := standin.AnnounceOptions{To: d.addresses(upstreamPort)}
	for n := range enginesOfAll {
		err := u.serve(ctx, func(address string) http.Handler {
			engine := standin.NewEngine(standin.EngineOptions{
				Name: fmt.Sprintf("drafting-%d", n), Address: address, FailureDomain: "kgn-" + names[n],
				Announce: announce, Fencing: upstreamapi.FencingChecked, MaxRunning: 64,
				FirstTokenDelay: 50 * time.Millisecond, TokenDelay: 20 * time.Millisecond,
				Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 80 * gibibyte}},
				Resident:     []upstreamapi.Resident{{Model: model, Accelerators: []string{"a0"}, MemoryBytes: 8 * gibibyte}},
			})
			u.engines = append(u.engines, engine)
			return engine
		})
		if err != nil {
			return nil, err
		}
	}
	for n := range servicesOfAll {
		err := u.serve(ctx, func(address string) http.Handler {
			plain := standin.NewService(standin.ServiceOptions{
				Name: fmt.Sprintf("portal-%d", n), Address: address, FailureDomain: "kgn-" + names[n],
				Announce: announce, Services: []string{service}, Delay: 50 * time.Millisecond,
			})
			u.services = append(u.services, plain)
			return plain
		})
		if err != nil {
			return nil, err
		}
	}
	return u, nil
}

// serve starts the upstream that build returns for the address it listens on.
func (u *upstreams) serve(ctx context.Context, build func(address string) http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: build(listener.Addr().String()), ReadHeaderTimeout: headerTimeout}
	u.servers = append(u.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// runs returns how often a submission was run, at all services together.
func (u *upstreams) runs(key string) int {
	sum := 0
	for _, plain := range u.services {
		sum += plain.Runs(key)
	}
	return sum
}

// count adds what the upstreams saw themselves.
func (u *upstreams) count(t *tally) {
	for n := range submitters {
		// Keys are numbered without gaps; far fewer can be sent in a run.
		for number := range 10_000 {
			key := fmt.Sprintf("submission-%d-%d", n, number)
			if u.runs(key) > 1 {
				t.add(&t.ranTwice, key)
			}
		}
	}
	for _, engine := range u.engines {
		for range engine.Overcommits() {
			t.add(&t.overcommitted, "")
		}
	}
}

func (u *upstreams) close() {
	leaving, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, engine := range u.engines {
		_ = engine.Close(leaving)
	}
	for _, plain := range u.services {
		_ = plain.Close(leaving)
	}
	for _, server := range u.servers {
		_ = server.Close()
	}
}
