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

var testTime = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// changeTimeout is short, since a spec waits for it to expire.
const changeTimeout = 20 * time.Millisecond

var (
	errNoQuorum   = errors.New("no quorum")
	errLeaderLost = errors.New("lost the leader")
)

// voter is the replicated state machine of one process, without a log or a disk.
type voter struct {
	mu          sync.Mutex
	registry    *registry.Registry
	configCache *gazette.Cache
	index       jury.Index
	lastChange  registry.Change
	// failure, if set, is returned by propose, which then applies nothing.
	failure error
	// blockProposals makes propose wait until its context ends.
	blockProposals bool
}

func newVoter() *voter {
	return &voter{registry: registry.New(), configCache: gazette.New()}
}

func (v *voter) propose(ctx context.Context, command []byte) (registry.Result, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.blockProposals {
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
	v.lastChange = decoded.(registry.Change)
	result, err := v.registry.Apply(v.index, command)
	if err != nil {
		return registry.Result{}, err
	}
	return result, v.configCache.Publish(v.registry.View())
}

// restart restores the state from its own snapshot.
func (v *voter) restart() {
	v.mu.Lock()
	defer v.mu.Unlock()
	snapshot, err := v.registry.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	v.registry = registry.New()
	Expect(v.registry.Restore(snapshot)).To(Succeed())
	v.configCache = gazette.New()
	Expect(v.configCache.Publish(v.registry.View())).To(Succeed())
}

func (v *voter) configStore() *registrar.ReplicatedConfigStore {
	return registrar.NewReplicatedConfigStore(registrar.ReplicatedConfigStoreOptions{
		ConfigCache:    v.configCache,
		Propose:        v.propose,
		NotAccepted:    func(err error) bool { return errors.Is(err, errNoQuorum) },
		HasConfigLease: func(now time.Time) bool { return now.Equal(testTime) },
		RetryAfter:     1500 * time.Millisecond,
	})
}

// fakeInstance is an instance that serves nothing. It records drain requests.
type fakeInstance struct {
	mu        sync.Mutex
	drainedBy []string
	hasLease  bool
}

func (f *fakeInstance) Status(time.Time) registrar.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return registrar.Status{Name: "a", ActiveRequests: 3, HasConfigLease: f.hasLease, Draining: len(f.drainedBy) > 0}
}

func (f *fakeInstance) Drain(operator string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainedBy = append(f.drainedBy, operator)
}

// fixture is an admin API server over one replicated state machine.
type fixture struct {
	voter    *voter
	instance *fakeInstance
	handler  http.Handler
	log      *bytes.Buffer
}

func newFixture() *fixture {
	return fixtureFor(newVoter())
}

// fixtureFor returns an admin API server over the state of v.
func fixtureFor(v *voter) *fixture {
	f := &fixture{voter: v, instance: &fakeInstance{}, log: &bytes.Buffer{}}
	f.handler = registrar.New(registrar.Options{
		ConfigStore: v.configStore(),
		Instance:    f.instance,
		OperatorByToken: func(token string) (string, bool) {
			name, ok := map[string]string{"token of kim": "kim", "token of ada": "ada"}[token]
			return name, ok
		},
		BodyBytes:     1 << 20,
		ChangeTimeout: changeTimeout,
		Now:           func() time.Time { return testTime },
		Log:           zerolog.New(zerolog.SyncWriter(f.log)),
	})
	return f
}

func (f *fixture) activeConfig() registrar.ActiveConfig {
	return f.voter.configStore().ActiveConfig(testTime)
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

// closedAddress returns an address without a listener. Port 1 is reserved, so no
// system assigns it to another test.
func closedAddress() netip.AddrPort {
	return netip.MustParseAddrPort("127.0.0.1:1")
}

// declarations returns canonical declarations with a single preset called name.
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
		ID: registrar.ChangeID(expected, d, preset), ExpectedRevision: expected, Declarations: d, Preset: preset,
	}
}
