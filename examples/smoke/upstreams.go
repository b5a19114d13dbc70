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
	// model and service are defined in the example's declarations.
	model   = "juror-chat"
	service = "submissions"

	engineCount   = 2
	serviceCount  = 2
	upstreamCount = engineCount + serviceCount

	headerTimeout = 5 * time.Second
	gibibyte      = 1 << 30
)

// testUpstreams are test doubles of upstreams in this process. They count the
// requests they run.
type testUpstreams struct {
	servers  []*http.Server
	engines  []*standin.Engine
	services []*standin.Service
}

func startUpstreams(ctx context.Context, d *deployment) (*testUpstreams, error) {
	up := &testUpstreams{}
	announce := standin.AnnounceOptions{To: d.addresses(upstreamPort)}
	for n := range engineCount {
		err := up.serve(ctx, func(address string) http.Handler {
			engine := standin.NewEngine(standin.EngineOptions{
				Name: fmt.Sprintf("drafting-%d", n), Address: address, FailureDomain: "kgn-" + instanceNames[n],
				Announce: announce, Fencing: upstreamapi.FencingChecked, MaxRunning: 64,
				FirstTokenDelay: 50 * time.Millisecond, TokenDelay: 20 * time.Millisecond,
				Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 80 * gibibyte}},
				Resident:     []upstreamapi.Resident{{Model: model, Accelerators: []string{"a0"}, MemoryBytes: 8 * gibibyte}},
			})
			up.engines = append(up.engines, engine)
			return engine
		})
		if err != nil {
			return nil, err
		}
	}
	for n := range serviceCount {
		err := up.serve(ctx, func(address string) http.Handler {
			plainService := standin.NewService(standin.ServiceOptions{
				Name: fmt.Sprintf("portal-%d", n), Address: address, FailureDomain: "kgn-" + instanceNames[n],
				Announce: announce, Services: []string{service}, Delay: 50 * time.Millisecond,
			})
			up.services = append(up.services, plainService)
			return plainService
		})
		if err != nil {
			return nil, err
		}
	}
	return up, nil
}

// serve listens on a free port and serves the upstream that build returns for
// its address.
func (u *testUpstreams) serve(ctx context.Context, build func(address string) http.Handler) error {
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

// runCount returns the number of runs of a submission on all services together.
func (u *testUpstreams) runCount(key string) int {
	sum := 0
	for _, plain := range u.services {
		sum += plain.Runs(key)
	}
	return sum
}

// recordViolations adds the violations that the upstreams detected.
func (u *testUpstreams) recordViolations(t *tally) {
	for n := range submitClientCount {
		// The numbers of keys are consecutive, and one run of the program sends
		// far fewer than this.
		for number := range 10_000 {
			key := fmt.Sprintf("submission-%d-%d", n, number)
			if u.runCount(key) > 1 {
				t.add(&t.ranTwice, key)
			}
		}
	}
	for _, engine := range u.engines {
		for range engine.Overcommits() {
			t.add(&t.overcommits, "")
		}
	}
}

func (u *testUpstreams) close() {
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
