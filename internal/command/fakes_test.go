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

const token = "a token that a machine drew"

// fakeInstance is an instance with its replicated state and nothing else: no log,
// no disk, no peers.
type fakeInstance struct {
	gazette *gazette.Gazette

	mu       sync.Mutex
	registry *registry.Registry
	index    jury.Index
	stale    bool
	drained  bool
	// loseAnswers makes the instance break the connection instead of answering
	// a change that it accepted.
	loseAnswers bool
	address     string
}

func newFakeInstance() *fakeInstance {
	f := &fakeInstance{gazette: gazette.New(), registry: registry.New()}
	handler := registrar.New(registrar.Options{
		Register: registrar.NewReplicated(registrar.ReplicatedOptions{
			Gazette: f.gazette, Propose: f.propose,
			NotAccepted: func(error) bool { return false },
			Fresh:       func(time.Time) bool { return !f.isStale() },
		}),
		House: f, Quarantine: f, Now: time.Now, Log: zerolog.Nop(),
		Holder: func(shown string) (string, bool) { return "kim", shown == token },
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && f.losing() {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	DeferCleanup(server.Close)
	f.address = server.Listener.Addr().String()
	return f
}

func (f *fakeInstance) losing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loseAnswers
}

func (f *fakeInstance) lose(answers bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswers = answers
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
	return result, f.gazette.Publish(f.registry.View())
}

func (f *fakeInstance) Status(time.Time) registrar.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	issue := f.gazette.Latest()
	return registrar.Status{
		Name: "a", FailureDomain: "kgn-a", Version: "1", Revision: uint64(issue.Revision), Preset: issue.Preset.Name,
		Fresh: !f.stale, Draining: f.drained, Streams: 2, Leader: "b", Term: 5,
		Instances: []registrar.InstanceStatus{{Name: "b", CallerAddress: "127.0.0.1:7610", FailureDomain: "kgn-b", Voter: true, Silent: 120 * time.Millisecond}},
		Upstreams: []registrar.UpstreamStatus{{Name: "e1", Kind: "engine", Address: "127.0.0.1:9000", FailureDomain: "kgn-a", Holds: []string{"base", "base-kgn"}, Running: 4, Leaving: true}},
	}
}

func (f *fakeInstance) Quarantined(now time.Time) ([]quarantine.Listing, error) {
	return f.registry.Crashes().List(now, quarantine.Limits{}), nil
}

func (f *fakeInstance) Lift(ctx context.Context, digests []quarantine.Digest) error {
	return f.note(ctx, quarantine.Update{Now: time.Now(), Lifted: digests})
}

// note records what is known of upstreams that ended.
func (f *fakeInstance) note(ctx context.Context, update quarantine.Update) error {
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
