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

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/registrar"
	"github.com/lovagelift/lovagelift/internal/registry"
)

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// changeTimeout is short: only proposals that wait for it take that long.
const changeTimeout = 20 * time.Millisecond

var (
	errNoQuorum   = errors.New("no quorum")
	errLeaderLost = errors.New("the leader went away")
)

// voter is the replicated state of one process, without a log or a disk.
type voter struct {
	mu       sync.Mutex
	registry *registry.Registry
	gazette  *gazette.Gazette
	index    jury.Index
	last     registry.Change
	// failure, if set, is returned instead of a result, and nothing changes.
	failure error
	// waits makes proposals wait until their context ends.
	waits bool
}

func newVoter() *voter {
	return &voter{registry: registry.New(), gazette: gazette.New()}
}

func (v *voter) propose(ctx context.Context, command []byte) (registry.Result, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.waits {
		<-ctx.Done()
	}
	if v.failure != nil {
		return registry.Result{}, v.failure
	}
	decoded, err := registry.Decode(command)
	if err != nil {
		return registry.Result{}, err
	}
	v.index++
	v.last = decoded.(registry.Change)
	result, err := v.registry.Apply(v.index, command)
	if err != nil {
		return registry.Result{}, err
	}
	return result, v.gazette.Publish(v.registry.View())
}

// restart replaces the state by one restored from its snapshot.
func (v *voter) restart() {
	v.mu.Lock()
	defer v.mu.Unlock()
	snapshot, err := v.registry.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	v.registry = registry.New()
	Expect(v.registry.Restore(snapshot)).To(Succeed())
	v.gazette = gazette.New()
	Expect(v.gazette.Publish(v.registry.View())).To(Succeed())
}

func (v *voter) register() *registrar.Replicated {
	return registrar.NewReplicated(registrar.ReplicatedOptions{
		Gazette:     v.gazette,
		Propose:     v.propose,
		NotAccepted: func(err error) bool { return errors.Is(err, errNoQuorum) },
		Fresh:       func(now time.Time) bool { return now.Equal(noon) },
		RetryAfter:  1500 * time.Millisecond,
	})
}

// fakeHouse is an instance with nothing behind it.
type fakeHouse struct {
	mu      sync.Mutex
	drained []string
	fresh   bool
}

func (f *fakeHouse) Status(time.Time) registrar.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return registrar.Status{Name: "a", Streams: 3, Fresh: f.fresh, Draining: len(f.drained) > 0}
}

func (f *fakeHouse) Drain(by string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained = append(f.drained, by)
}

// fixture is one replicated state with handlers in front of it.
type fixture struct {
	voter   *voter
	house   *fakeHouse
	handler http.Handler
	log     *bytes.Buffer
}

func newFixture() *fixture {
	return fixtureOf(newVoter())
}

// fixtureOf returns handlers over the state of v.
func fixtureOf(v *voter) *fixture {
	f := &fixture{voter: v, house: &fakeHouse{}, log: &bytes.Buffer{}}
	f.handler = registrar.New(registrar.Options{
		Register: v.register(),
		House:    f.house,
		Holder: func(token string) (string, bool) {
			name, ok := map[string]string{"token of kim": "kim", "token of ada": "ada"}[token]
			return name, ok
		},
		BodyBytes:     1 << 20,
		ChangeTimeout: changeTimeout,
		Now:           func() time.Time { return noon },
		Log:           zerolog.New(zerolog.SyncWriter(f.log)),
	})
	return f
}

func (f *fixture) inForce() registrar.InForce {
	return f.voter.register().InForce(noon)
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
