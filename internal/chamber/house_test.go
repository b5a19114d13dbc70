package chamber_test

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing/fstest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/chamber"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/standin"
)

// The times of the specs: short, and with room for a machine that is busy.
const (
	heartbeat       = 30 * time.Millisecond
	electionTimeout = 400 * time.Millisecond
	lease           = time.Second
	specTimeout     = 60 * time.Second
	// callTimeout bounds a call between members.
	callTimeout = 300 * time.Millisecond
)

// member is one instance's part, which can be cut off, stopped and started.
type member struct {
	house    *house
	name     string
	voter    bool
	folder   string
	listener net.Listener
	server   *courier.Server
	metrics  tally.TestScope
	pools    []*courier.Pool
	chamber.Chamber

	mu sync.Mutex
	// cut is true while the member reaches nobody and nobody reaches it.
	cut   bool
	conns []net.Conn
}

// house is some members that know each other's addresses.
type house struct {
	members map[string]*member
	options houseOptions

	mu sync.Mutex
	// known is the identity of each voter that was started.
	known map[string]jury.Identity
}

// newHouse starts voters a, b and c, founds their cluster, and starts a
// follower f.
func newHouse(ctx context.Context) *house {
	return newHouseOf(ctx, houseOptions{renewEvery: 50 * time.Millisecond, docket: docket.DefaultLimits()}, "f")
}

// houseOptions is what differs between houses.
type houseOptions struct {
	// renewEvery is how often followers confirm their configuration.
	renewEvery time.Duration
	docket     docket.Limits
}

// newHouseOf starts voters a, b and c, founds their cluster, and starts
// followers.
func newHouseOf(ctx context.Context, options houseOptions, followers ...string) *house {
	h := &house{options: options, members: map[string]*member{}, known: map[string]jury.Identity{}}
	for _, name := range append([]string{"a", "b", "c"}, followers...) {
		listener, err := standin.Listen()
		Expect(err).NotTo(HaveOccurred())
		h.members[name] = &member{
			house: h, name: name, voter: !slices.Contains(followers, name), listener: listener,
			folder: filepath.Join(GinkgoT().TempDir(), name),
		}
	}
	for _, m := range h.members {
		m.start()
	}
	DeferCleanup(func() {
		for _, m := range h.members {
			m.stop()
		}
	})
	Expect(h.voter("a").Bootstrap(ctx)).To(Succeed())
	return h
}

func (h *house) voter(name string) *chamber.Voter {
	return h.members[name].Chamber.(*chamber.Voter)
}

func (h *house) parts() []chamber.Chamber {
	var parts []chamber.Chamber
	for _, m := range h.members {
		if m.Chamber != nil {
			parts = append(parts, m.Chamber)
		}
	}
	return parts
}

func (m *member) address() string {
	return m.listener.Addr().String()
}

// start starts the member on its address and data folder.
func (m *member) start() {
	options := chamber.Options{
		Self: m.name, RenewEvery: m.house.options.renewEvery, Lease: lease, Now: time.Now, Log: zerolog.Nop(),
	}
	for _, other := range m.house.members {
		if other.voter && other.name != m.name {
			options.Voters = append(options.Voters, chamber.VoterAddress{Name: other.name, InnerAddress: other.address()})
		}
	}
	m.metrics = tally.NewTestScope("", nil)
	options.Metrics = m.metrics
	m.pools = []*courier.Pool{m.newPool(), m.newPool(), m.newPool()}
	options.Calls = m.pools[0]
	services := courier.Services{Others: map[string]any{}}
	if m.voter {
		voter, err := chamber.NewVoter(chamber.VoterOptions{
			Options: options, Folder: m.folder, Heartbeats: m.pools[1], Entries: m.pools[2],
			Heartbeat: heartbeat, ElectionTimeout: electionTimeout, ClockDrift: 0.05,
			OrderFlight: 100 * time.Millisecond, Identities: m.house.identities, Docket: m.house.options.docket,
		})
		Expect(err).NotTo(HaveOccurred())
		m.Chamber = voter
		m.house.note(m.name, voter.Identity())
		services.Others["Control"] = courier.NewControlService(voter.Control())
	} else {
		m.Chamber = chamber.NewFollower(options)
	}
	server, err := courier.NewServer(&gate{Listener: m.listener, member: m}, services)
	Expect(err).NotTo(HaveOccurred())
	m.server = server
}

// identities returns the identities of the voters that were started last.
func (h *house) identities() []jury.Identity {
	h.mu.Lock()
	defer h.mu.Unlock()
	var identities []jury.Identity
	for _, identity := range h.known {
		identities = append(identities, identity)
	}
	return identities
}

func (h *house) note(name string, identity jury.Identity) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known[name] = identity
}

// stop ends the member like a crash: nothing is handed over.
func (m *member) stop() {
	if m.Chamber == nil {
		return
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	m.server.Close()
	for _, pool := range m.pools {
		pool.Close()
	}
	m.Close(ended)
	m.Chamber = nil
}

// restart starts a stopped member again at the same address.
func (m *member) restart() {
	listener, err := net.Listen("tcp", m.address())
	Expect(err).NotTo(HaveOccurred())
	m.listener = listener
	m.start()
}

// cutOff ends the member's connections, in and out, and allows no new ones.
func (m *member) cutOff() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = true
	for _, conn := range m.conns {
		conn.Close()
	}
	m.conns = nil
}

func (m *member) heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = false
}

func (m *member) newPool() *courier.Pool {
	return courier.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil && !m.pass(conn) {
			return nil, errors.New("cut off")
		}
		return conn, err
	}, callTimeout)
}

// pass notes a connection, or closes it while the member is cut off.
func (m *member) pass(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut {
		conn.Close()
		return false
	}
	m.conns = append(m.conns, conn)
	return true
}

// gate is a listener that lets nothing in while its member is cut off.
type gate struct {
	net.Listener
	member *member
}

func (g *gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil || g.member.pass(conn) {
			return conn, err
		}
	}
}

// change is a change of the whole configuration, whose preset is named for it.
func change(id string, expected registry.Revision) registry.Change {
	set, err := declaration.Read(fstest.MapFS{
		"a.toml": {Data: fmt.Appendf(nil, "[[preset]]\nname = %q\nfirst = true\n", id)},
	}, "declarations")
	Expect(err).NotTo(HaveOccurred())
	prepared, err := registry.Change{
		ID: id, Expected: expected, Declarations: set.Canonical(), Preset: id, By: "kim", Summary: id, Now: time.Now(),
	}.Prepare(declaration.Check)
	Expect(err).NotTo(HaveOccurred())
	return prepared
}

// apply has a change accepted.
func apply(ctx context.Context, at chamber.Chamber, c registry.Change) registry.Answer {
	result, err := at.Propose(ctx, c)
	Expect(err).NotTo(HaveOccurred())
	return *result.Change
}
