package command_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/registrar"
	"github.com/lovagelift/lovagelift/internal/registry"
)

const validToken = "a randomly generated token"

// fakeInstance is an instance with a replicated state machine, but without a log,
// a disk or peers.
type fakeInstance struct {
	cache *gazette.Cache

	mu       sync.Mutex
	registry *registry.Registry
	index    jury.Index
	stale    bool
	drained  bool
	// loseResponses makes the instance process each POST request and then close the
	// connection without a response.
	loseResponses bool
	address       string
}

func newFakeInstance() *fakeInstance {
	f := &fakeInstance{cache: gazette.New(), registry: registry.New()}
	handler := registrar.New(registrar.Options{
		ConfigStore: registrar.NewReplicatedConfigStore(registrar.ReplicatedConfigStoreOptions{
			ConfigCache: f.cache, Propose: f.propose,
			NotAccepted:    func(error) bool { return false },
			HasConfigLease: func(time.Time) bool { return !f.isStale() },
		}),
		Instance: f, QuarantineStore: f, Now: time.Now, Log: zerolog.Nop(),
		OperatorByToken: func(token string) (string, bool) { return "kim", token == validToken },
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && f.losesResponses() {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	DeferCleanup(server.Close)
	f.address = server.Listener.Addr().String()
	return f
}

func (f *fakeInstance) losesResponses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loseResponses
}

func (f *fakeInstance) setLoseResponses(lose bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseResponses = lose
}

func (f *fakeInstance) isStale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stale
}

func (f *fakeInstance) propose(_ context.Context, command []byte) (registry.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	result, err := f.registry.Apply(f.index, command)
	if err != nil {
		return result, err
	}
	return result, f.cache.Publish(f.registry.View())
}

func (f *fakeInstance) Status(time.Time) registrar.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	active := f.cache.Latest()
	return registrar.Status{
		Name: "a", FailureDomain: "kgn-a", Version: "1", Revision: uint64(active.Revision), Preset: active.Preset.Name,
		HasConfigLease: !f.stale, Draining: f.drained, ActiveRequests: 2, Leader: "b", Term: 5,
		Instances: []registrar.InstanceStatus{{Name: "b", CallerAddress: "127.0.0.1:7610", FailureDomain: "kgn-b", Voter: true, SinceLastContact: 120 * time.Millisecond}},
		Upstreams: []registrar.UpstreamStatus{{Name: "e1", Kind: "engine", Address: "127.0.0.1:9000", FailureDomain: "kgn-a", Serves: []string{"base", "base-kgn"}, Running: 4, Leaving: true}},
	}
}

func (f *fakeInstance) Quarantined(now time.Time) ([]quarantine.Listing, error) {
	return f.registry.CrashRecords().List(now, quarantine.Limits{}), nil
}

func (f *fakeInstance) Lift(ctx context.Context, digests []quarantine.Digest) error {
	return f.record(ctx, quarantine.Update{Now: time.Now(), Lifted: digests})
}

// record applies crash reports or releases of quarantined requests.
func (f *fakeInstance) record(ctx context.Context, update quarantine.Update) error {
	command, err := registry.Encode(update)
	if err != nil {
		return err
	}
	_, err = f.propose(ctx, command)
	return err
}

func (f *fakeInstance) Drain(string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained = true
}
