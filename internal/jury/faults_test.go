package jury_test

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// join lets a member that hears no leader look for one.
func (w *world) join(n *node) {
	status := n.member.Status()
	if status.Leader != "" || w.random.IntN(10) > 0 {
		return
	}
	for _, other := range w.nodes {
		if other != n {
			w.post(jury.Message{
				From: n.self, To: other.self, Cluster: status.Cluster, Term: status.Term, Body: jury.Join{},
			})
		}
	}
}

// disturb brings faults.
func (w *world) disturb() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	other := w.nodes[w.random.IntN(len(w.nodes))]
	long := time.Duration(w.random.Int64N(int64(6 * testElection)))
	switch {
	case !n.up:
		if w.chance(w.profile.restart) {
			w.start(n)
		}
	case w.chance(w.profile.crash):
		w.crash(n)
	case w.chance(w.profile.pause):
		n.pausedUntil = w.now + long
	case w.chance(w.profile.cut):
		w.isolate(n, long)
	case w.chance(w.profile.oneWay):
		w.cut[[2]string{n.instance, other.instance}] = w.now + long
	case w.chance(w.profile.wipe):
		w.wipe(n)
	}
}

func (w *world) isolate(n *node, long time.Duration) {
	for _, other := range w.nodes {
		w.cut[[2]string{n.instance, other.instance}] = w.now + long
		w.cut[[2]string{other.instance, n.instance}] = w.now + long
	}
}

// wipe takes the disk of a node, but never so many that a majority is lost: in
// each set of voters that a node knows, there are three and none lost its disk.
func (w *world) wipe(n *node) {
	if w.history.top == 0 {
		return
	}
	for _, other := range w.nodes {
		if !other.up {
			return
		}
		status := other.member.Status()
		if len(status.Voters) > 0 && len(status.Voters) < 3 {
			return
		}
		for _, name := range status.Voters {
			if w.node(name) == nil {
				return
			}
		}
	}
	w.crash(n)
	w.lost[n.self] = n.disk // its slice is not written again: newDisk empties n.disk
	w.newDisk(n)
	w.start(n)
}

// leader returns a node that leads in the highest term.
func (w *world) leader() *node {
	var found *node
	for _, n := range w.nodes {
		if !n.up || n.member.Status().Role != jury.Leader {
			continue
		}
		if found == nil || n.member.Status().Term > found.member.Status().Term {
			found = n
		}
	}
	return found
}

// operate does what callers and operators do.
func (w *world) operate() {
	if w.founders > 0 && w.history.top == 0 && w.random.IntN(20) == 0 {
		w.bootstrap("juryline", w.nodes[:w.founders], w.nodes[:w.founders])
	}
	for _, n := range w.nodes {
		if !n.runs(w.now) {
			continue
		}
		status := n.member.Status()
		if status.Role == jury.Leader {
			w.lead(n, status)
		}
		if w.chance(w.profile.compact) && n.applied > status.SnapshotIndex {
			w.handle(n, jury.Compact{Index: n.applied, Data: encodeState(n.state)})
		}
	}
}

func (w *world) lead(n *node, status jury.Status) {
	if w.random.IntN(1000) < w.profile.propose {
		var proposals []jury.Proposal
		for range 1 + w.random.IntN(3) {
			w.proposed++
			proposals = append(proposals, jury.Proposal{ID: w.proposed, Data: change(w.proposed, n.state&revisionBits)})
		}
		w.handle(n, jury.Propose{Proposals: proposals})
	}
	if w.chance(w.profile.transfer) {
		w.handle(n, jury.TransferLeadership{})
	}
	w.repair(n, status)
	if w.chance(w.profile.resize) {
		w.resize(n, status)
	}
}

// repair replaces voters that lost their disk: the old identity goes, the new
// one comes.
func (w *world) repair(n *node, status jury.Status) {
	for _, name := range status.Voters {
		if w.node(name) == nil {
			w.handle(n, jury.ChangeVoters{Remove: name})
			return
		}
	}
	if len(status.Voters) < 3 || w.calm {
		for _, other := range w.nodes {
			if !slices.Contains(status.Voters, other.self) {
				w.handle(n, jury.ChangeVoters{Add: other.self})
			}
		}
	}
}

func (w *world) resize(n *node, status jury.Status) {
	other := w.nodes[w.random.IntN(len(w.nodes))]
	if !slices.Contains(status.Voters, other.self) {
		w.handle(n, jury.ChangeVoters{Add: other.self})
		return
	}
	if len(status.Voters) > 2 {
		w.handle(n, jury.ChangeVoters{Remove: other.self})
	}
}
