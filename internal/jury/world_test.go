package jury_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
)

const (
	testElection = 300 * time.Millisecond
	testFlight   = 200 * time.Millisecond
	testDrift    = 0.05
)

// profile says how often each fault comes in a schedule: the chance in a
// thousand per step or message.
type profile struct {
	lose, double, crash, restart, pause, cut, oneWay int
	propose, compact, transfer, wipe, resize         int
	slowest                                          time.Duration
	slowDisk                                         time.Duration
	kept                                             int
}

// storm is the profile with every fault at once.
var storm = profile{
	lose: 30, double: 30, crash: 6, restart: 17, pause: 5, cut: 6, oneWay: 4,
	propose: 300, compact: 20, transfer: 4, wipe: 4, resize: 5,
	slowest: 40 * time.Millisecond, slowDisk: 15 * time.Millisecond, kept: 4,
}

// platter is what a node has synced.
type platter struct {
	hard     jury.HardState
	snapshot jury.Snapshot
	entries  []jury.Entry
}

// write does a Persist up to a cut: the number of parts and entries that reach
// the platter before a crash.
func (p *platter) write(persist jury.Persist, parts int) {
	if parts > 0 && persist.Snapshot != nil {
		p.snapshot = *persist.Snapshot
	}
	if parts > 1 {
		p.hard = persist.HardState
	}
	if parts > 2 && persist.TruncateFrom > 0 {
		p.entries = slices.DeleteFunc(p.entries, func(e jury.Entry) bool {
			return e.Index >= persist.TruncateFrom
		})
	}
	if parts > 3 {
		count := min(parts-3, len(persist.Entries))
		p.entries = append(p.entries, persist.Entries[:count]...)
	}
	if parts > 3+len(persist.Entries) && persist.Snapshot != nil {
		p.entries = slices.DeleteFunc(p.entries, func(e jury.Entry) bool {
			return e.Index <= p.snapshot.Index
		})
	}
}

func parts(persist jury.Persist) int {
	return 4 + len(persist.Entries)
}

// holds reports whether the platter has the entry, or a snapshot that covers it.
func (p *platter) holds(index jury.Index, term jury.Term) bool {
	if index <= p.snapshot.Index {
		return true
	}
	return slices.ContainsFunc(p.entries, func(e jury.Entry) bool {
		return e.Index == index && e.Term == term
	})
}

type node struct {
	instance string
	disks    int
	self     jury.Identity
	member   *jury.Member
	disk     platter
	starts   uint64

	// The node's clock shows offset + rate × true time.
	rate   float64
	offset time.Duration

	up          bool
	pausedUntil time.Duration
	tickAt      time.Duration

	writing   *jury.Persist
	writtenAt time.Duration

	applied jury.Index
	state   uint64
	// heldUntil is the true time at which the last right to order ends that the
	// node has shown.
	heldUntil time.Duration
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (n *node) local(now time.Duration) time.Time {
	return epoch.Add(n.offset + time.Duration(n.rate*float64(now)))
}

func (n *node) trueTime(local time.Time) time.Duration {
	return time.Duration(float64(local.Sub(epoch)-n.offset) / n.rate)
}

func (n *node) runs(now time.Duration) bool {
	return n.up && now >= n.pausedUntil
}

type packet struct {
	at      time.Duration
	message jury.Message
}

// world is a few members with clocks, disks and a network that fail by a seeded
// schedule. It checks the invariants after every step.
type world struct {
	random   *rand.Rand
	profile  profile
	weakened jury.Safeguard
	now      time.Duration
	// unit is how fine the steps are.
	unit    time.Duration
	nodes   []*node
	packets []packet
	// cut holds the directions in which nothing passes, until a time.
	cut map[[2]string]time.Duration
	// sameName lets a node that lost its disk come back under its old identity.
	sameName bool
	proposed uint64
	calm     bool
	// founders is how many of the nodes are bootstrapped, again and again until
	// there is a leader.
	founders int
	// drop, if not nil, says which messages are lost.
	drop func(jury.Message) bool
	// lost holds what was on the disks that were lost.
	lost map[jury.Identity]platter

	history history
}

func newWorld(seed uint64, size int, p profile, weakened jury.Safeguard) *world {
	w := &world{
		random:   rand.New(rand.NewPCG(seed, 7)),
		profile:  p,
		weakened: weakened,
		unit:     time.Millisecond,
		cut:      map[[2]string]time.Duration{},
		lost:     map[jury.Identity]platter{},
		history:  newHistory(),
	}
	for i := range size {
		n := &node{
			instance: fmt.Sprintf("kgn-%c", 'a'+i),
			rate:     1 + testDrift*(2*w.random.Float64()-1),
			offset:   time.Duration(w.random.Int64N(int64(time.Hour))),
		}
		if w.random.IntN(3) == 0 {
			n.rate = 1 + testDrift*float64(2*w.random.IntN(2)-1)
		}
		w.nodes = append(w.nodes, n)
		w.newDisk(n)
		w.start(n)
	}
	return w
}

func (w *world) chance(perMille int) bool {
	return !w.calm && w.random.IntN(1000) < perMille
}

func (w *world) newDisk(n *node) {
	if n.disks == 0 || !w.sameName {
		n.disks++
	}
	n.self = jury.Identity(fmt.Sprintf("%s/%d", n.instance, n.disks))
	n.disk = platter{}
}

func (w *world) start(n *node) {
	n.starts++
	member, err := jury.New(n.local(w.now), jury.Options{
		Self:            n.self,
		Seed:            w.random.Uint64(),
		Heartbeat:       testElection / 10,
		ElectionTimeout: testElection,
		ClockDrift:      testDrift,
		OrderFlight:     testFlight,
		Inflight:        3,
		AppendBytes:     40,
		Kept:            w.profile.kept,
	}, jury.State{Cluster: n.disk.snapshot.Cluster, HardState: n.disk.hard, Snapshot: n.disk.snapshot, Entries: n.disk.entries})
	if err != nil {
		w.history.failf("%s cannot start: %v", n.self, err)
		return
	}
	member.Weaken(w.weakened)
	n.member = member
	n.up = true
	n.writing = nil
	n.applied = n.disk.snapshot.Index
	n.state = decodeState(n.disk.snapshot.Data)
	n.tickAt = w.now
}

func (w *world) crash(n *node) {
	if !n.up {
		return
	}
	if n.writing != nil {
		n.disk.write(*n.writing, w.random.IntN(parts(*n.writing)+1))
	}
	n.up = false
	n.writing = nil
	n.pausedUntil = 0
}

// bootstrap gives the initial snapshot to some nodes.
func (w *world) bootstrap(cluster string, voters []*node, reached []*node) {
	names := identities(voters)
	for _, n := range reached {
		if n.runs(w.now) {
			w.handle(n, jury.Bootstrap{ID: 1, Cluster: cluster, Voters: names, Data: encodeState(0)})
		}
	}
}

func identities(nodes []*node) []jury.Identity {
	names := make([]jury.Identity, len(nodes))
	for i, n := range nodes {
		names[i] = n.self
	}
	return names
}

func (w *world) node(self jury.Identity) *node {
	for _, n := range w.nodes {
		if n.self == self {
			return n
		}
	}
	return nil
}

// handle hands an event to a node, does the actions and checks the invariants.
func (w *world) handle(n *node, event jury.Event) []jury.Action {
	if w.history.err != nil {
		return nil
	}
	actions := n.member.Handle(n.local(w.now), event)
	for _, action := range actions {
		w.act(n, action)
	}
	w.history.checkRights(w, n)
	return actions
}

func (w *world) act(n *node, action jury.Action) {
	switch a := action.(type) {
	case jury.Persist:
		n.writing = &a
		n.writtenAt = w.now + time.Millisecond
		if !w.calm {
			n.writtenAt += time.Duration(w.random.Int64N(int64(w.profile.slowDisk) + 1))
		}
	case jury.Send:
		w.post(a.Message)
	case jury.Commit:
		w.history.checkCommit(w, n, a.Entries)
	case jury.Restore:
		w.history.checkRestore(n, a.Snapshot)
	case jury.BecameLeader:
		w.history.checkLeader(n, a.Term)
	case jury.SteppedDown, jury.Answer:
	}
}

func (w *world) post(message jury.Message) {
	if w.drop != nil && w.drop(message) {
		return
	}
	if w.chance(w.profile.lose) {
		return
	}
	copies := 1
	if w.chance(w.profile.double) {
		copies = 2
	}
	for range copies {
		delay := time.Millisecond
		if !w.calm && w.random.IntN(4) == 0 {
			delay += time.Duration(w.random.Int64N(int64(w.profile.slowest) + 1))
		}
		if w.chance(3) {
			delay += time.Duration(w.random.Int64N(int64(4 * testElection)))
		}
		w.packets = append(w.packets, packet{at: w.now + delay, message: message})
	}
}

func (w *world) blocked(from, to string) bool {
	return w.cut[[2]string{from, to}] > w.now
}

// step lets a little time pass with whatever comes up in it.
func (w *world) step() {
	w.now += time.Duration(1+w.random.IntN(8)) * w.unit
	w.deliver()
	for _, n := range w.nodes {
		if !n.runs(w.now) {
			continue
		}
		if n.writing != nil && n.writtenAt <= w.now {
			w.sync(n)
		}
		if n.tickAt <= w.now {
			n.tickAt = w.now + time.Duration(5+w.random.IntN(10))*w.unit
			w.handle(n, jury.Tick{})
			w.join(n)
		}
	}
	if !w.calm {
		w.disturb()
	}
	w.operate()
}

func (w *world) sync(n *node) {
	done := *n.writing
	n.writing = nil
	n.disk.write(done, parts(done))
	w.history.checkDisk(n, done)
	w.handle(n, jury.Synced{Batch: done.Batch})
}

func (w *world) deliver() {
	var due []packet
	kept := w.packets[:0]
	for _, p := range w.packets {
		if p.at <= w.now {
			due = append(due, p)
		} else {
			kept = append(kept, p)
		}
	}
	w.packets = kept
	for _, p := range due {
		to := w.node(p.message.To)
		if to == nil || !to.up || w.blocked(p.message.From.Instance(), to.instance) {
			continue
		}
		if !to.runs(w.now) {
			p.at = to.pausedUntil
			w.packets = append(w.packets, p)
			continue
		}
		w.handle(to, jury.Receive{Message: p.message})
	}
}

// run takes steps until an invariant breaks.
func (w *world) run(steps int) error {
	for range steps {
		w.step()
		if w.history.err != nil {
			return fmt.Errorf("at %s: %w", w.now, w.history.err)
		}
	}
	return nil
}

// heal ends all faults, and checks that the members come to agree and go on.
func (w *world) heal() error {
	w.calm = true
	clear(w.cut)
	for _, n := range w.nodes {
		n.pausedUntil = 0
		if !n.up {
			w.start(n)
		}
	}
	before := w.history.top
	if err := w.run(2500); err != nil {
		return err
	}
	leader := w.leader()
	if leader == nil {
		return fmt.Errorf("no leader after the faults ended: %s", w.describe())
	}
	if w.history.top <= before {
		return fmt.Errorf("nothing was committed after the faults ended: %s", w.describe())
	}
	if _, _, ok := leader.member.OrderRight(leader.local(w.now)); !ok {
		return fmt.Errorf("the leader has no right to order after the faults ended: %s", w.describe())
	}
	for _, n := range w.nodes {
		if asOf, ok := n.member.Freshness(n.local(w.now)); !ok || n.local(w.now).Sub(asOf) > testElection {
			return fmt.Errorf("%s knows nothing fresh after the faults ended: %s", n.self, w.describe())
		}
	}
	return nil
}

func (w *world) describe() string {
	text := ""
	for _, n := range w.nodes {
		text += fmt.Sprintf("\n%s up=%v %+v", n.self, n.up, n.member.Status())
	}
	return text
}
