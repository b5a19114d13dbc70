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

// Timings of the specs: short, but with a margin for a busy machine.
const (
	heartbeat       = 30 * time.Millisecond
	electionTimeout = 400 * time.Millisecond
	configLease     = time.Second
	specTimeout     = 60 * time.Second
	// callTimeout bounds a call between nodes.
	callTimeout = 300 * time.Millisecond
)

// node is the control plane of one instance, which can be isolated, stopped and restarted.
type node struct {
	cluster  *cluster
	name     string
	voter    bool
	folder   string
	listener net.Listener
	server   *courier.Server
	metrics  tally.TestScope
	pools    []*courier.Pool
	chamber.ControlPlane

	mu sync.Mutex
	// isolated blocks all connections from and to the node.
	isolated bool
	conns    []net.Conn
}

// cluster is a set of nodes that know each other's addresses.
type cluster struct {
	nodes   map[string]*node
	options clusterOptions

	mu sync.Mutex
	// voterIdentities holds the latest identity of each voter, by name.
	voterIdentities map[string]jury.Identity
}

// newCluster starts and bootstraps voters a, b and c, and starts a follower f.
func newCluster(ctx context.Context) *cluster {
	return newClusterWith(ctx, clusterOptions{renewInterval: 50 * time.Millisecond, docket: docket.DefaultLimits()}, "f")
}

// clusterOptions are the options that differ between specs.
type clusterOptions struct {
	// renewInterval is the interval at which followers confirm their configuration.
	renewInterval time.Duration
	docket        docket.Limits
	// answerDelay, if set, returns how long the answer to a proposal from another node is late.
	answerDelay func(command []byte) time.Duration
}

// lateControl is the Control of a voter whose answers to proposals may be late.
type lateControl struct {
	courier.Control
	delay func(command []byte) time.Duration
}

// ProposeLocally answers late, after the command was executed.
func (c lateControl) ProposeLocally(ctx context.Context, command []byte) courier.Proposed {
	proposed := c.Control.ProposeLocally(ctx, command)
	<-time.After(c.delay(command))
	return proposed
}

// newClusterWith starts voters a, b and c and the followers, and bootstraps the cluster.
func newClusterWith(ctx context.Context, options clusterOptions, followers ...string) *cluster {
	c := &cluster{options: options, nodes: map[string]*node{}, voterIdentities: map[string]jury.Identity{}}
	for _, name := range append([]string{"a", "b", "c"}, followers...) {
		listener, err := standin.Listen()
		Expect(err).NotTo(HaveOccurred())
		c.nodes[name] = &node{
			cluster: c, name: name, voter: !slices.Contains(followers, name), listener: listener,
			folder: filepath.Join(GinkgoT().TempDir(), name),
		}
	}
	for _, n := range c.nodes {
		n.start()
	}
	DeferCleanup(func() {
		for _, n := range c.nodes {
			n.stop()
		}
	})
	Expect(c.voter("a").Bootstrap(ctx)).To(Succeed())
	return c
}

func (c *cluster) voter(name string) *chamber.Voter {
	return c.nodes[name].ControlPlane.(*chamber.Voter)
}

func (c *cluster) running() []chamber.ControlPlane {
	var running []chamber.ControlPlane
	for _, n := range c.nodes {
		if n.ControlPlane != nil {
			running = append(running, n.ControlPlane)
		}
	}
	return running
}

// votersWithoutLeader returns the voters other than the leader, once there is one.
func (c *cluster) votersWithoutLeader(ctx context.Context) []*node {
	GinkgoHelper()
	var leader jury.Identity
	Eventually(ctx, func() jury.Identity {
		leader, _ = c.nodes["a"].Leader()
		return leader
	}).ShouldNot(BeEmpty())
	var others []*node
	for _, n := range c.nodes {
		if n.voter && n.Identity() != leader {
			others = append(others, n)
		}
	}
	return others
}

func (n *node) address() string {
	return n.listener.Addr().String()
}

// start starts the node at its address, with its data folder.
func (n *node) start() {
	options := chamber.Options{
		Self: n.name, RenewInterval: n.cluster.options.renewInterval, ConfigLease: configLease, Now: time.Now, Log: zerolog.Nop(),
	}
	for _, other := range n.cluster.nodes {
		if other.voter && other.name != n.name {
			options.Voters = append(options.Voters, chamber.VoterAddress{Name: other.name, InnerAddress: other.address()})
		}
	}
	n.metrics = tally.NewTestScope("", nil)
	options.Metrics = n.metrics
	n.pools = []*courier.Pool{n.newPool(), n.newPool(), n.newPool()}
	options.Calls = n.pools[0]
	services := courier.Services{Others: map[string]any{}}
	if n.voter {
		voter, err := chamber.NewVoter(chamber.VoterOptions{
			Options: options, Folder: n.folder, HeartbeatPool: n.pools[1], EntryPool: n.pools[2],
			Heartbeat: heartbeat, ElectionTimeout: electionTimeout, ClockDrift: 0.05,
			OrderTimeout: 100 * time.Millisecond, Identities: n.cluster.identities, Docket: n.cluster.options.docket,
		})
		Expect(err).NotTo(HaveOccurred())
		n.ControlPlane = voter
		n.cluster.recordIdentity(n.name, voter.Identity())
		control := voter.Control()
		if delay := n.cluster.options.answerDelay; delay != nil {
			control = lateControl{control, delay}
		}
		services.Others["Control"] = courier.NewControlService(control)
	} else {
		n.ControlPlane = chamber.NewFollower(options)
	}
	server, err := courier.NewServer(&isolatingListener{Listener: n.listener, node: n}, services)
	Expect(err).NotTo(HaveOccurred())
	n.server = server
}

// identities returns the latest identities of all voters.
func (c *cluster) identities() []jury.Identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	var identities []jury.Identity
	for _, identity := range c.voterIdentities {
		identities = append(identities, identity)
	}
	return identities
}

func (c *cluster) recordIdentity(name string, identity jury.Identity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voterIdentities[name] = identity
}

// stop ends the node as in a crash, without a transfer of leadership.
func (n *node) stop() {
	if n.ControlPlane == nil {
		return
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	n.server.Close()
	for _, pool := range n.pools {
		pool.Close()
	}
	n.Close(canceled)
	n.ControlPlane = nil
}

// restart starts a stopped node at the same address.
func (n *node) restart() {
	listener, err := net.Listen("tcp", n.address())
	Expect(err).NotTo(HaveOccurred())
	n.listener = listener
	n.start()
}

// isolate closes all connections from and to the node and blocks new ones.
func (n *node) isolate() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = true
	for _, conn := range n.conns {
		conn.Close()
	}
	n.conns = nil
}

func (n *node) reconnect() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = false
}

func (n *node) newPool() *courier.Pool {
	return courier.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil && !n.track(conn) {
			return nil, errors.New("the node is isolated")
		}
		return conn, err
	}, callTimeout)
}

// track registers a connection. If the node is isolated, it closes the connection and returns
// false.
func (n *node) track(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated {
		conn.Close()
		return false
	}
	n.conns = append(n.conns, conn)
	return true
}

// isolatingListener is a listener that accepts no connections while its node is isolated.
type isolatingListener struct {
	net.Listener
	node *node
}

func (l *isolatingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.node.track(conn) {
			return conn, err
		}
	}
}

// newChange returns a change that replaces the whole configuration, with id as the name of the
// preset.
func newChange(id string, expected registry.Revision) registry.Change {
	set, err := declaration.Read(fstest.MapFS{
		"a.toml": {Data: fmt.Appendf(nil, "[[preset]]\nname = %q\nfirst = true\n", id)},
	}, "declarations")
	Expect(err).NotTo(HaveOccurred())
	prepared, err := registry.Change{
		ID: id, Expected: expected, Declarations: set.Canonical(), Preset: id, By: "kim", Summary: id, Now: time.Now(),
	}.Validated(declaration.Check)
	Expect(err).NotTo(HaveOccurred())
	return prepared
}

// proposeChange proposes a change and returns the answer.
func proposeChange(ctx context.Context, node chamber.ControlPlane, change registry.Change) registry.ChangeResult {
	result, err := node.Propose(ctx, change)
	Expect(err).NotTo(HaveOccurred())
	return *result.Change
}
