package clerk_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/archive"
	"github.com/lovagelift/lovagelift/internal/clerk"
	"github.com/lovagelift/lovagelift/internal/jury"
)

// memoryStore is an in-memory store that can be made to fail.
type memoryStore struct {
	mutex sync.Mutex
	state jury.State
	err   error
}

func (m *memoryStore) Append(hard jury.HardState, truncateFrom jury.Index, entries []jury.Entry) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.err != nil {
		return m.err
	}
	m.state.HardState = hard
	if truncateFrom > 0 {
		m.state.Entries = slices.DeleteFunc(slices.Clone(m.state.Entries), func(e jury.Entry) bool { return e.Index >= truncateFrom })
	}
	m.state.Entries = append(m.state.Entries, entries...)
	return nil
}

func (m *memoryStore) SaveSnapshot(s jury.Snapshot) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.err == nil {
		m.state.Snapshot = s
		m.state.Snapshot.Cluster = ""
	}
	return m.err
}

func (m *memoryStore) Compact(upTo jury.Index) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.Entries = slices.DeleteFunc(slices.Clone(m.state.Entries), func(e jury.Entry) bool { return e.Index <= upTo })
	return m.err
}

func (m *memoryStore) RecordCluster(id string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.Cluster = id
	return m.err
}

func (m *memoryStore) failWith(err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.err = err
}

func (m *memoryStore) load() jury.State {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.state
	state.Entries = slices.Clone(state.Entries)
	return state
}

// recordingMachine is a state machine that records the commands in order. The result of a command
// is its position.
type recordingMachine struct {
	mutex    sync.Mutex
	commands []string
	// With countOnly, commands are counted in count instead of recorded, so that the state of a
	// benchmark does not grow with its duration.
	count     int
	countOnly bool
	err       error
}

func (m *recordingMachine) Apply(_ jury.Index, command []byte) ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.err != nil {
		return nil, m.err
	}
	if m.countOnly {
		m.count++
		return fmt.Appendf(nil, "%d", m.count), nil
	}
	m.commands = append(m.commands, string(command))
	return fmt.Appendf(nil, "%d", len(m.commands)), nil
}

func (m *recordingMachine) Snapshot() ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var data []byte
	for _, command := range m.commands {
		data = binary.AppendUvarint(data, uint64(len(command)))
		data = append(data, command...)
	}
	return data, nil
}

func (m *recordingMachine) Restore(data []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.commands = nil
	for len(data) > 0 {
		size, n := binary.Uvarint(data)
		m.commands = append(m.commands, string(data[n:n+int(size)]))
		data = data[n+int(size):]
	}
	return nil
}

func (m *recordingMachine) applied() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.commands)
}

func (m *recordingMachine) failWith(err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.err = err
}

// node is a replica with its fake store, state machine and clock ticks.
type node struct {
	identity jury.Identity
	replica  *clerk.Replica
	store    *memoryStore
	// archive replaces store if it is not nil, and archived is the state loaded from it.
	archive  *archive.Archive
	archived jury.State
	machine  *recordingMachine
	ticks    chan time.Time
}

// cluster is a set of replicas with an in-memory transport and a common clock.
type cluster struct {
	mutex sync.Mutex
	// now is the current time of the fake clock, unused with realTime.
	now      time.Time
	realTime bool
	nodes    []*node
	isolated map[jury.Identity]bool
	// loseReplies drops the replies to forwarded proposals.
	loseReplies bool
}

var errUnreachable = errors.New("the replica cannot be reached")

func newCluster(count int) *cluster {
	c := newStoppedCluster(count)
	for _, n := range c.nodes {
		c.start(n)
	}
	DeferCleanup(c.close)
	return c
}

func newStoppedCluster(count int) *cluster {
	c := &cluster{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), isolated: map[jury.Identity]bool{}}
	for i := range count {
		identity := jury.Identity(fmt.Sprintf("kgn-%c/%d", 'a'+i, i+1))
		c.nodes = append(c.nodes, &node{identity: identity, store: &memoryStore{}})
	}
	return c
}

func (c *cluster) start(n *node) {
	machine, ticks := &recordingMachine{countOnly: c.realTime}, make(chan time.Time)
	var store clerk.Store = n.store
	state := n.store.load()
	if n.archive != nil {
		store, state = n.archive, n.archived
	}
	snapshotBytes := 2000
	if c.realTime {
		snapshotBytes = 0
	}
	replica, err := clerk.New(clerk.Options{
		Member: jury.Options{
			Self: n.identity, Seed: uint64(n.identity[4]), Heartbeat: 50 * time.Millisecond,
			ElectionTimeout: 500 * time.Millisecond, OrderTimeout: 100 * time.Millisecond, KeptEntries: 1,
		},
		State:         state,
		Store:         store,
		Transport:     memoryTransport{cluster: c, from: n.identity},
		StateMachine:  machine,
		Peers:         c.identities,
		Now:           c.clock,
		Ticks:         ticks,
		SnapshotBytes: snapshotBytes,
	})
	if err != nil {
		panic(err)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n.replica, n.machine, n.ticks = replica, machine, ticks
}

// open uses a data folder on disk instead of the in-memory store.
func (n *node) open(folder string) error {
	opened, loaded, err := archive.Open(archive.Options{Folder: folder})
	if err != nil {
		return err
	}
	n.archive = opened
	n.archived = jury.State{Cluster: loaded.ClusterID, HardState: loaded.HardState, Snapshot: loaded.Snapshot, Entries: loaded.Entries}
	return nil
}

func (c *cluster) clock() time.Time {
	if c.realTime {
		return time.Now()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *cluster) identities() []jury.Identity {
	var identities []jury.Identity
	for _, n := range c.nodes {
		identities = append(identities, n.identity)
	}
	return identities
}

// route returns the replica with the identity to, nil if either end is isolated.
func (c *cluster) route(from, to jury.Identity) *clerk.Replica {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isolated[from] || c.isolated[to] {
		return nil
	}
	for _, n := range c.nodes {
		if n.identity == to {
			return n.replica
		}
	}
	return nil
}

func (c *cluster) setIsolated(n *node, isolated bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isolated[n.identity] = isolated
}

// advance advances the fake clock by one tick.
func (c *cluster) advance() {
	c.mutex.Lock()
	c.now = c.now.Add(10 * time.Millisecond)
	now := c.now
	c.mutex.Unlock()
	for _, n := range c.nodes {
		select {
		case n.ticks <- now:
		case <-time.After(100 * time.Millisecond):
			// A closed replica receives no ticks.
		}
	}
}

// waitUntil advances the clock until done returns true.
func (c *cluster) waitUntil(done func() bool) {
	GinkgoHelper()
	Eventually(func() bool {
		c.advance()
		return done()
	}).WithTimeout(20 * time.Second).WithPolling(100 * time.Microsecond).Should(BeTrue())
}

// whileAdvancing runs action while the clock advances.
func whileAdvancing[T any](c *cluster, action func() T) T {
	GinkgoHelper()
	done := make(chan T, 1)
	go func() { done <- action() }()
	var result T
	c.waitUntil(func() bool {
		select {
		case result = <-done:
			return true
		default:
			return false
		}
	})
	return result
}

func (c *cluster) leader() *node {
	for _, n := range c.nodes {
		if _, _, ok := n.replica.OrderRight(c.clock()); ok {
			return n
		}
	}
	return nil
}

// bootstrap bootstraps the cluster and waits for a leader.
func (c *cluster) bootstrap() *node {
	GinkgoHelper()
	for _, n := range c.nodes {
		Expect(n.replica.Bootstrap(context.Background(), "cluster-1", c.identities(), nil)).To(Succeed())
	}
	c.waitUntil(func() bool { return c.leader() != nil })
	return c.leader()
}

func (c *cluster) others(n *node) []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(other *node) bool { return other == n })
}

func (c *cluster) close() {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, n := range c.nodes {
		n.replica.Close(canceled)
	}
}

// memoryTransport delivers messages in memory.
type memoryTransport struct {
	cluster *cluster
	from    jury.Identity
}

func (t memoryTransport) Send(_ context.Context, message jury.Message) error {
	to := t.cluster.route(t.from, message.To)
	if to == nil || !to.Receive(message) {
		return errUnreachable
	}
	return nil
}

func (t memoryTransport) Forward(ctx context.Context, identity jury.Identity, command []byte) ([]byte, error) {
	to := t.cluster.route(t.from, identity)
	if to == nil {
		return nil, errUnreachable
	}
	result, err := to.ProposeLocal(ctx, command)
	t.cluster.mutex.Lock()
	defer t.cluster.mutex.Unlock()
	if t.cluster.loseReplies {
		return nil, errUnreachable
	}
	return result, err
}
