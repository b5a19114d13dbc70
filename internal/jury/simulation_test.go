package jury_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
)

const (
	testElectionTimeout = 300 * time.Millisecond
	testOrderTimeout    = 200 * time.Millisecond
	testClockDrift      = 0.05
)

// faultProfile configures the faults and client actions of a simulation. The
// integer fields except keptEntries are probabilities per mille, per step or per
// message.
type faultProfile struct {
	loseMessage, duplicateMessage, crash, restart, pause, isolate, blockOneWay int
	propose, compact, transfer, loseDisk, changeVoter                          int
	maxDelay                                                                   time.Duration
	maxSyncDelay                                                               time.Duration
	keptEntries                                                                int
}

// allFaults is the profile with every fault.
var allFaults = faultProfile{
	loseMessage: 30, duplicateMessage: 30, crash: 6, restart: 17, pause: 5, isolate: 6, blockOneWay: 4,
	propose: 300, compact: 20, transfer: 4, loseDisk: 4, changeVoter: 5,
	maxDelay: 40 * time.Millisecond, maxSyncDelay: 15 * time.Millisecond, keptEntries: 4,
}

// simulatedDisk is the state that a node has synced.
type simulatedDisk struct {
	hardState jury.HardState
	snapshot  jury.Snapshot
	entries   []jury.Entry
}

// write executes the first partsWritten parts of a Persist, as after a crash
// during the write. Each entry counts as one part.
func (d *simulatedDisk) write(persist jury.Persist, partsWritten int) {
	if partsWritten > 0 && persist.Snapshot != nil {
		d.snapshot = *persist.Snapshot
	}
	if partsWritten > 1 {
		d.hardState = persist.HardState
	}
	if partsWritten > 2 && persist.TruncateFrom > 0 {
		d.entries = slices.DeleteFunc(d.entries, func(e jury.Entry) bool {
			return e.Index >= persist.TruncateFrom
		})
	}
	if partsWritten > 3 {
		count := min(partsWritten-3, len(persist.Entries))
		d.entries = append(d.entries, persist.Entries[:count]...)
	}
	if partsWritten > 3+len(persist.Entries) && persist.Snapshot != nil {
		d.entries = slices.DeleteFunc(d.entries, func(e jury.Entry) bool {
			return e.Index <= d.snapshot.Index
		})
	}
}

// partCount returns the number of parts of a Persist, as counted by write.
func partCount(persist jury.Persist) int {
	return 4 + len(persist.Entries)
}

// holds reports whether the disk has the entry or a snapshot that covers it.
func (d *simulatedDisk) holds(index jury.Index, term jury.Term) bool {
	if index <= d.snapshot.Index {
		return true
	}
	return slices.ContainsFunc(d.entries, func(e jury.Entry) bool {
		return e.Index == index && e.Term == term
	})
}

type node struct {
	instance   string
	diskCount  int
	identity   jury.Identity
	member     *jury.Member
	disk       simulatedDisk
	startCount uint64

	// The node's clock shows offset + rate × true time.
	clockRate   float64
	clockOffset time.Duration

	up          bool
	pausedUntil time.Duration
	nextTickAt  time.Duration

	persisting *jury.Persist
	syncedAt   time.Duration

	appliedIndex jury.Index
	appliedState uint64
	// orderRightUntil is the true time at which the node's right to send orders
	// ends, as last returned by OrderRight.
	orderRightUntil time.Duration
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (n *node) localTime(now time.Duration) time.Time {
	return epoch.Add(n.clockOffset + time.Duration(n.clockRate*float64(now)))
}

func (n *node) trueTime(local time.Time) time.Duration {
	return time.Duration(float64(local.Sub(epoch)-n.clockOffset) / n.clockRate)
}

func (n *node) isRunning(now time.Duration) bool {
	return n.up && now >= n.pausedUntil
}

type packet struct {
	deliverAt time.Duration
	message   jury.Message
}

// simulation runs a cluster with simulated clocks, disks and network. A seeded
// schedule injects faults. The simulation checks the invariants after every
// event.
type simulation struct {
	random    *rand.Rand
	faults    faultProfile
	mutations jury.Mutation
	now       time.Duration
	// stepUnit is the unit of the random lengths of steps and tick intervals.
	stepUnit time.Duration
	nodes    []*node
	packets  []packet
	// blockedUntil is the end of the interruption of each direction (from, to)
	// between two instances.
	blockedUntil map[[2]string]time.Duration
	// reuseIdentity lets a node that lost its disk return under its old
	// identity.
	reuseIdentity  bool
	lastProposalID uint64
	faultsEnded    bool
	// bootstrapCount is how many of the nodes are bootstrapped, repeatedly until
	// the first commit.
	bootstrapCount int
	// drop, if not nil, reports whether to lose a message.
	drop func(jury.Message) bool
	// lostDisks are the contents of the lost disks.
	lostDisks map[jury.Identity]simulatedDisk

	history history
}

func newSimulation(seed uint64, size int, faults faultProfile, mutations jury.Mutation) *simulation {
	sim := &simulation{
		random:       rand.New(rand.NewPCG(seed, 7)),
		faults:       faults,
		mutations:    mutations,
		stepUnit:     time.Millisecond,
		blockedUntil: map[[2]string]time.Duration{},
		lostDisks:    map[jury.Identity]simulatedDisk{},
		history:      newHistory(),
	}
	for i := range size {
		n := &node{
			instance:    fmt.Sprintf("kgn-%c", 'a'+i),
			clockRate:   1 + testClockDrift*(2*sim.random.Float64()-1),
			clockOffset: time.Duration(sim.random.Int64N(int64(time.Hour))),
		}
		if sim.random.IntN(3) == 0 {
			n.clockRate = 1 + testClockDrift*float64(2*sim.random.IntN(2)-1)
		}
		sim.nodes = append(sim.nodes, n)
		sim.newDisk(n)
		sim.start(n)
	}
	return sim
}

func (s *simulation) occurs(perMille int) bool {
	return !s.faultsEnded && s.random.IntN(1000) < perMille
}

func (s *simulation) newDisk(n *node) {
	if n.diskCount == 0 || !s.reuseIdentity {
		n.diskCount++
	}
	n.identity = jury.Identity(fmt.Sprintf("%s/%d", n.instance, n.diskCount))
	n.disk = simulatedDisk{}
}

func (s *simulation) start(n *node) {
	n.startCount++
	member, err := jury.New(n.localTime(s.now), jury.Options{
		Self:               n.identity,
		Seed:               s.random.Uint64(),
		Heartbeat:          testElectionTimeout / 10,
		ElectionTimeout:    testElectionTimeout,
		ClockDrift:         testClockDrift,
		OrderTimeout:       testOrderTimeout,
		MaxInflightAppends: 3,
		MaxAppendBytes:     40,
		KeptEntries:        s.faults.keptEntries,
	}, jury.State{Cluster: n.disk.snapshot.Cluster, HardState: n.disk.hardState, Snapshot: n.disk.snapshot, Entries: n.disk.entries})
	if err != nil {
		s.history.failf("%s cannot start: %v", n.identity, err)
		return
	}
	member.SetMutations(s.mutations)
	n.member = member
	n.up = true
	n.persisting = nil
	n.appliedIndex = n.disk.snapshot.Index
	n.appliedState = decodeState(n.disk.snapshot.Data)
	n.nextTickAt = s.now
}

func (s *simulation) crash(n *node) {
	if !n.up {
		return
	}
	if n.persisting != nil {
		n.disk.write(*n.persisting, s.random.IntN(partCount(*n.persisting)+1))
	}
	n.up = false
	n.persisting = nil
	n.pausedUntil = 0
}

// bootstrap sends a Bootstrap with voters to the nodes in reached.
func (s *simulation) bootstrap(cluster string, voters []*node, reached []*node) {
	ids := identities(voters)
	for _, n := range reached {
		if n.isRunning(s.now) {
			s.handle(n, jury.Bootstrap{ID: 1, Cluster: cluster, Voters: ids, Data: encodeState(0)})
		}
	}
}

func identities(nodes []*node) []jury.Identity {
	ids := make([]jury.Identity, len(nodes))
	for i, n := range nodes {
		ids[i] = n.identity
	}
	return ids
}

func (s *simulation) nodeByIdentity(self jury.Identity) *node {
	for _, n := range s.nodes {
		if n.identity == self {
			return n
		}
	}
	return nil
}

// nodeByInstance returns the node at an address, whatever its identity.
func (s *simulation) nodeByInstance(instance string) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.instance == instance })
	return s.nodes[i]
}

// handle passes an event to a node, executes the actions and checks the
// invariants.
func (s *simulation) handle(n *node, event jury.Event) []jury.Action {
	if s.history.err != nil {
		return nil
	}
	actions := n.member.Handle(n.localTime(s.now), event)
	for _, action := range actions {
		s.perform(n, action)
	}
	s.history.checkOrderRightAndFreshness(s, n)
	return actions
}

func (s *simulation) perform(n *node, action jury.Action) {
	switch a := action.(type) {
	case jury.Persist:
		n.persisting = &a
		n.syncedAt = s.now + time.Millisecond
		if !s.faultsEnded {
			n.syncedAt += time.Duration(s.random.Int64N(int64(s.faults.maxSyncDelay) + 1))
		}
	case jury.Send:
		s.sendMessage(a.Message)
	case jury.Commit:
		s.history.checkCommit(s, n, a.Entries)
	case jury.Restore:
		s.history.checkRestore(n, a.Snapshot)
	case jury.BecameLeader:
		s.history.checkLeader(n, a.Term)
	case jury.SteppedDown, jury.Answer:
	}
}

func (s *simulation) sendMessage(message jury.Message) {
	if s.drop != nil && s.drop(message) {
		return
	}
	if s.occurs(s.faults.loseMessage) {
		return
	}
	copies := 1
	if s.occurs(s.faults.duplicateMessage) {
		copies = 2
	}
	for range copies {
		delay := time.Millisecond
		if !s.faultsEnded && s.random.IntN(4) == 0 {
			delay += time.Duration(s.random.Int64N(int64(s.faults.maxDelay) + 1))
		}
		if s.occurs(3) {
			delay += time.Duration(s.random.Int64N(int64(4 * testElectionTimeout)))
		}
		s.packets = append(s.packets, packet{deliverAt: s.now + delay, message: message})
	}
}

func (s *simulation) isBlocked(from, to string) bool {
	return s.blockedUntil[[2]string{from, to}] > s.now
}

// step advances the time and processes all events that are due.
func (s *simulation) step() {
	s.now += time.Duration(1+s.random.IntN(8)) * s.stepUnit
	s.deliver()
	for _, n := range s.nodes {
		if !n.isRunning(s.now) {
			continue
		}
		if n.persisting != nil && n.syncedAt <= s.now {
			s.completeWrite(n)
		}
		if n.nextTickAt <= s.now {
			n.nextTickAt = s.now + time.Duration(5+s.random.IntN(10))*s.stepUnit
			s.handle(n, jury.Tick{})
			s.sendJoins(n)
		}
	}
	if !s.faultsEnded {
		s.injectFaults()
	}
	s.runClients()
}

func (s *simulation) completeWrite(n *node) {
	done := *n.persisting
	n.persisting = nil
	n.disk.write(done, partCount(done))
	s.history.checkLogMatching(n, done)
	s.handle(n, jury.Synced{Batch: done.Batch})
}

func (s *simulation) deliver() {
	var due []packet
	kept := s.packets[:0]
	for _, p := range s.packets {
		if p.deliverAt <= s.now {
			due = append(due, p)
		} else {
			kept = append(kept, p)
		}
	}
	s.packets = kept
	for _, p := range due {
		to := s.nodeByInstance(p.message.To.Instance())
		if !to.up || s.isBlocked(p.message.From.Instance(), to.instance) {
			continue
		}
		if !to.isRunning(s.now) {
			p.deliverAt = to.pausedUntil
			s.packets = append(s.packets, p)
			continue
		}
		s.handle(to, jury.Receive{Message: p.message})
	}
}

// run takes steps, and returns an error as soon as an invariant is violated.
func (s *simulation) run(steps int) error {
	for range steps {
		s.step()
		if s.history.err != nil {
			return fmt.Errorf("at %s: %w", s.now, s.history.err)
		}
	}
	return nil
}

// endFaultsAndCheckRecovery ends all faults and checks that the cluster recovers:
// it has a leader that may send orders, commits new entries, and serves fresh
// reads on every member.
func (s *simulation) endFaultsAndCheckRecovery() error {
	s.faultsEnded = true
	clear(s.blockedUntil)
	for _, n := range s.nodes {
		n.pausedUntil = 0
		if !n.up {
			s.start(n)
		}
	}
	before := s.history.highestCommit
	if err := s.run(2500); err != nil {
		return err
	}
	leader := s.leader()
	if leader == nil {
		return fmt.Errorf("no leader after the faults ended: %s", s.describeMembers())
	}
	if s.history.highestCommit <= before {
		return fmt.Errorf("nothing was committed after the faults ended: %s", s.describeMembers())
	}
	if _, _, ok := leader.member.OrderRight(leader.localTime(s.now)); !ok {
		return fmt.Errorf("the leader has no right to order after the faults ended: %s", s.describeMembers())
	}
	for _, n := range s.nodes {
		if asOf, ok := n.member.Freshness(n.localTime(s.now)); !ok || n.localTime(s.now).Sub(asOf) > testElectionTimeout {
			return fmt.Errorf("%s has no recent Freshness after the faults ended: %s", n.identity, s.describeMembers())
		}
	}
	return nil
}

func (s *simulation) describeMembers() string {
	text := ""
	for _, n := range s.nodes {
		text += fmt.Sprintf("\n%s up=%v %+v", n.identity, n.up, n.member.Status())
	}
	return text
}
