package command_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/registrar"
)

const token = "a token that a machine drew"

// fakeInstance is an instance with its replicated state and nothing else.
type fakeInstance struct {
	mu      sync.Mutex
	inForce registrar.InForce
	by      string
	answers map[string]registrar.Answer
	drained bool
	// loseAnswers makes the instance break the connection instead of answering
	// a change that it accepted.
	loseAnswers bool
	address     string
}

func newFakeInstance() *fakeInstance {
	f := &fakeInstance{answers: map[string]registrar.Answer{}, inForce: registrar.InForce{Fresh: true}}
	handler := registrar.New(registrar.Options{
		Register: f, House: f, Now: time.Now, Log: zerolog.Nop(),
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

func (f *fakeInstance) InForce(time.Time) registrar.InForce {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inForce
}

func (f *fakeInstance) Change(_ context.Context, change registrar.Change) (registrar.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if first, ok := f.answers[change.ID]; ok {
		return first, nil
	}
	if change.Expected != f.inForce.Revision {
		return registrar.Answer{}, &registrar.ConflictError{Revision: f.inForce.Revision, By: f.by, Summary: "something else"}
	}
	if change.Declarations != nil {
		set, err := declaration.Decode(change.Declarations)
		if err != nil {
			return registrar.Answer{}, &registrar.RefusedError{Reason: err.Error()}
		}
		f.inForce.Declarations = set
	}
	if change.Preset != "" {
		f.inForce.Preset = change.Preset
	}
	f.inForce.Revision++
	f.by = change.By
	f.answers[change.ID] = registrar.Answer{Revision: f.inForce.Revision}
	return f.answers[change.ID], nil
}

func (f *fakeInstance) Status(time.Time) registrar.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return registrar.Status{
		Name: "a", FailureDomain: "kgn-a", Version: "1", Revision: f.inForce.Revision, Preset: f.inForce.Preset,
		Fresh: f.inForce.Fresh, Draining: f.drained, Streams: 2, Leader: "b", Term: 5,
		Instances: []registrar.InstanceStatus{{Name: "b", CallerAddress: "127.0.0.1:7610", FailureDomain: "kgn-b", Voter: true, Silent: 120 * time.Millisecond}},
		Upstreams: []registrar.UpstreamStatus{{Name: "e1", Kind: "engine", Address: "127.0.0.1:9000", FailureDomain: "kgn-a", Holds: []string{"base", "base-kgn"}, Running: 4, Leaving: true}},
	}
}

func (f *fakeInstance) Drain(string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained = true
}
