package registrar_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing/fstest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/registrar"
)

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// fakeRegister is the replicated state of one process.
type fakeRegister struct {
	mu      sync.Mutex
	inForce registrar.InForce
	last    registrar.Change
	answers map[string]registrar.Answer
	// failure, if set, is returned instead of an answer, and nothing changes.
	failure error
}

func (f *fakeRegister) InForce(time.Time) registrar.InForce {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inForce
}

func (f *fakeRegister) Change(_ context.Context, change registrar.Change) (registrar.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failure != nil {
		return registrar.Answer{}, f.failure
	}
	if first, ok := f.answers[change.ID]; ok {
		return first, nil
	}
	if change.Expected != f.inForce.Revision {
		return registrar.Answer{}, &registrar.ConflictError{
			Revision: f.inForce.Revision, ChangeID: f.last.ID, By: f.last.By, Summary: f.last.Summary,
		}
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
	f.last = change
	answer := registrar.Answer{Revision: f.inForce.Revision}
	f.answers[change.ID] = answer
	return answer, nil
}

// fakeHouse is an instance with nothing behind it.
type fakeHouse struct {
	mu      sync.Mutex
	drained []string
}

func (f *fakeHouse) Status(time.Time) registrar.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return registrar.Status{Name: "a", Streams: 3, Draining: len(f.drained) > 0}
}

func (f *fakeHouse) Drain(by string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained = append(f.drained, by)
}

// fixture is one replicated state with handlers in front of it.
type fixture struct {
	register *fakeRegister
	house    *fakeHouse
	handler  http.Handler
	log      *bytes.Buffer
}

func newFixture() *fixture {
	f := &fixture{
		register: &fakeRegister{answers: map[string]registrar.Answer{}},
		house:    &fakeHouse{},
		log:      &bytes.Buffer{},
	}
	f.handler = registrar.New(registrar.Options{
		Register: f.register,
		House:    f.house,
		Holder: func(token string) (string, bool) {
			name, ok := map[string]string{"token of kim": "kim", "token of ada": "ada"}[token]
			return name, ok
		},
		BodyBytes: 1 << 20,
		Now:       func() time.Time { return noon },
		Log:       zerolog.New(zerolog.SyncWriter(f.log)),
	})
	return f
}

// serve serves handler on loopback and returns its address.
func serve(handler http.Handler) netip.AddrPort {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func client(token string, addresses ...netip.AddrPort) *registrar.Client {
	c, err := registrar.NewClient(registrar.ClientOptions{Addresses: addresses, Token: token, Timeout: 30 * time.Second})
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return c
}

// closedAddress returns an address that nobody listens on: port 1 was given away
// decades ago, and no system hands it out.
func closedAddress() netip.AddrPort {
	return netip.MustParseAddrPort("127.0.0.1:1")
}

// declarations returns canonical declarations whose one preset is called name.
func declarations(name string) []byte {
	set, err := declaration.Read(fstest.MapFS{"a.toml": {Data: []byte(
		"[[preset]]\nname = \"" + name + "\"\nfirst = true\n[[model]]\nname = \"m\"\nversion = \"1\"\n" +
			"layouts = [{ accelerators = 1, memory = \"1 GiB\" }]\nversions = [{ name = \"1\", weights = \"a<b>&c\" }]\n",
	)}}, "decl")
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return set.Canonical()
}

func change(expected uint64, preset string) registrar.Change {
	d := declarations(preset)
	return registrar.Change{
		ID: registrar.ChangeID(expected, d, preset), Expected: expected, Declarations: d, Preset: preset,
	}
}
