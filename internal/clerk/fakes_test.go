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

// memory is a disk in memory that may fail.
type memory struct {
	mutex sync.Mutex
	state jury.State
	err   error
}

func (m *memory) Append(hard jury.HardState, truncateFrom jury.Index, entries []jury.Entry) error {
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

func (m *memory) SaveSnapshot(s jury.Snapshot) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.err == nil {
		m.state.Snapshot = s
		m.state.Snapshot.Cluster = ""
	}
	return m.err
}

func (m *memory) Compact(upTo jury.Index) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.Entries = slices.DeleteFunc(slices.Clone(m.state.Entries), func(e jury.Entry) bool { return e.Index <= upTo })
	return m.err
}

func (m *memory) RecordCluster(id string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.Cluster = id
	return m.err
}

func (m *memory) fail(err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.err = err
}

func (m *memory) load() jury.State {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.state
	state.Entries = slices.Clone(state.Entries)
	return state
}

// tallies is a state machine that keeps the commands in order. The result of a
// command is its place.
type tallies struct {
	mutex    sync.Mutex
	commands []string
	// count stands for the commands if counting is set, for benchmarks: the
	// state then takes the same room however long they run.
	count    int
	counting bool
	err      error
}

func (t *tallies) Apply(_ jury.Index, command []byte) ([]byte, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.err != nil {
		return nil, t.err
	}
	if t.counting {
		t.count++
		return fmt.Appendf(nil, "%d", t.count), nil
	}
	t.commands = append(t.commands, string(command))
	return fmt.Appendf(nil, "%d", len(t.commands)), nil
}

func (t *tallies) Snapshot() ([]byte, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var data []byte
	for _, command := range t.commands {
		data = binary.AppendUvarint(data, uint64(len(command)))
		data = append(data, command...)
	}
	return data, nil
}

func (t *tallies) Restore(data []byte) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.commands = nil
	for len(data) > 0 {
		size, n := binary.Uvarint(data)
		t.commands = append(t.commands, string(data[n:n+int(size)]))
		data = data[n+int(size):]
	}
	return nil
}

func (t *tallies) all() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.commands)
}

func (t *tallies) fail(err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.err = err
}

// replica is a Clerk with its fakes.
type replica struct {
	name  jury.Identity
	clerk *clerk.Clerk
	disk  *memory
	// archive, if not nil, is used in place of disk.
	archive *archive.Archive
	state   jury.State
	machine *tallies
	ticks   chan time.Time
}

// court is a few replicas that reach each other in memory, with one clock.
type court struct {
	mutex sync.Mutex
	// now is the time, unless realTime is set.
	now      time.Time
	realTime bool
	replicas []*replica
	cut      map[jury.Identity]bool
	// lostReply drops the replies of forwarded proposals.
	lostReply bool
}

var errCut = errors.New("the replica cannot be reached")

func newCourt(count int) *court {
	c := makeCourt(count)
	for _, r := range c.replicas {
		c.start(r)
	}
	DeferCleanup(c.close)
	return c
}

func makeCourt(count int) *court {
	c := &court{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), cut: map[jury.Identity]bool{}}
	for i := range count {
		name := jury.Identity(fmt.Sprintf("kgn-%c/%d", 'a'+i, i+1))
		c.replicas = append(c.replicas, &replica{name: name, disk: &memory{}})
	}
	return c
}

func (c *court) start(r *replica) {
	machine, ticks := &tallies{counting: c.realTime}, make(chan time.Time)
	var store clerk.Store = r.disk
	state := r.disk.load()
	if r.archive != nil {
		store, state = r.archive, r.state
	}
	snapshotBytes := 2000
	if c.realTime {
		snapshotBytes = 0
	}
	started, err := clerk.New(clerk.Options{
		Member: jury.Options{
			Self: r.name, Seed: uint64(r.name[4]), Heartbeat: 50 * time.Millisecond,
			ElectionTimeout: 500 * time.Millisecond, OrderFlight: 100 * time.Millisecond, Kept: 1,
		},
		State:         state,
		Store:         store,
		Courier:       courier{court: c, from: r.name},
		Machine:       machine,
		Peers:         c.names,
		Now:           c.clock,
		Ticks:         ticks,
		SnapshotBytes: snapshotBytes,
	})
	if err != nil {
		panic(err)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r.clerk, r.machine, r.ticks = started, machine, ticks
}

// open gives r a data folder in place of its disk in memory.
func (r *replica) open(folder string) error {
	opened, loaded, err := archive.Open(archive.Options{Folder: folder})
	if err != nil {
		return err
	}
	r.archive = opened
	r.state = jury.State{Cluster: loaded.ClusterID, HardState: loaded.HardState, Snapshot: loaded.Snapshot, Entries: loaded.Entries}
	return nil
}

func (c *court) clock() time.Time {
	if c.realTime {
		return time.Now()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *court) names() []jury.Identity {
	var names []jury.Identity
	for _, r := range c.replicas {
		names = append(names, r.name)
	}
	return names
}

// reach returns the clerk behind a name, unless either end is cut off.
func (c *court) reach(from, to jury.Identity) *clerk.Clerk {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cut[from] || c.cut[to] {
		return nil
	}
	for _, r := range c.replicas {
		if r.name == to {
			return r.clerk
		}
	}
	return nil
}

func (c *court) setCut(r *replica, cut bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cut[r.name] = cut
}

// pass lets a little time pass for all replicas.
func (c *court) pass() {
	c.mutex.Lock()
	c.now = c.now.Add(10 * time.Millisecond)
	now := c.now
	c.mutex.Unlock()
	for _, r := range c.replicas {
		select {
		case r.ticks <- now:
		case <-time.After(100 * time.Millisecond):
			// A replica that is closed takes no ticks.
		}
	}
}

// until lets time pass until done.
func (c *court) until(done func() bool) {
	GinkgoHelper()
	Eventually(func() bool {
		c.pass()
		return done()
	}).WithTimeout(20 * time.Second).WithPolling(100 * time.Microsecond).Should(BeTrue())
}

// whilePassing runs action while time passes.
func whilePassing[T any](c *court, action func() T) T {
	GinkgoHelper()
	done := make(chan T, 1)
	go func() { done <- action() }()
	var result T
	c.until(func() bool {
		select {
		case result = <-done:
			return true
		default:
			return false
		}
	})
	return result
}

func (c *court) leader() *replica {
	for _, r := range c.replicas {
		if _, _, ok := r.clerk.OrderRight(c.clock()); ok {
			return r
		}
	}
	return nil
}

// begin bootstraps the replicas and waits for a leader.
func (c *court) begin() *replica {
	GinkgoHelper()
	for _, r := range c.replicas {
		Expect(r.clerk.Bootstrap(context.Background(), "juryline", c.names(), nil)).To(Succeed())
	}
	c.until(func() bool { return c.leader() != nil })
	return c.leader()
}

func (c *court) others(r *replica) []*replica {
	return slices.DeleteFunc(slices.Clone(c.replicas), func(o *replica) bool { return o == r })
}

func (c *court) close() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, r := range c.replicas {
		r.clerk.Close(ended)
	}
}

// courier reaches replicas in memory.
type courier struct {
	court *court
	from  jury.Identity
}

func (c courier) Deliver(_ context.Context, message jury.Message) error {
	to := c.court.reach(c.from, message.To)
	if to == nil || !to.Deliver(message) {
		return errCut
	}
	return nil
}

func (c courier) Forward(ctx context.Context, name jury.Identity, command []byte) ([]byte, error) {
	to := c.court.reach(c.from, name)
	if to == nil {
		return nil, errCut
	}
	result, err := to.ProposeHere(ctx, command)
	c.court.mutex.Lock()
	defer c.court.mutex.Unlock()
	if c.court.lostReply {
		return nil, errCut
	}
	return result, err
}
