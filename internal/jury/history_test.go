package jury_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// place names an entry of a log by where it stands.
type place struct {
	index jury.Index
	term  jury.Term
}

type committed struct {
	term jury.Term
	// in is the term in which it was committed, or one soon after.
	in   jury.Term
	text string
	// state is that of the state machine after the entry.
	state uint64
	at    time.Duration
}

// history is what happened in a schedule, to check the invariants against.
type history struct {
	err     error
	leaders map[jury.Term]jury.Identity
	entries map[jury.Index]committed
	// top is the highest committed index.
	top jury.Index
	// written are the entries that reached any disk, each with the term before
	// it.
	written map[place]string
	// winners are the changes that made each revision.
	winners map[uint64]string
}

func newHistory() history {
	return history{
		leaders: map[jury.Term]jury.Identity{},
		entries: map[jury.Index]committed{},
		written: map[place]string{},
		winners: map[uint64]string{},
	}
}

func (h *history) failf(format string, args ...any) {
	if h.err == nil {
		h.err = fmt.Errorf(format, args...)
	}
}

func text(e jury.Entry) string {
	return fmt.Sprintf("%d %s", e.Kind, e.Data)
}

func encodeState(state uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, state)
}

func decodeState(data []byte) uint64 {
	if len(data) == 0 {
		return 0
	}
	return binary.BigEndian.Uint64(data)
}

// revisionBits are the low bits of a state, which hold its revision.
const revisionBits = 1<<16 - 1

// change returns a command that changes what is in force, if the revision that
// its operator has seen is still in force.
func change(name uint64, expected uint64) []byte {
	return fmt.Appendf(nil, "change-%d expects %d", name, expected)
}

// next is the state machine: it chains all commands, and counts the changes that
// came first for the revision that they expect.
func next(state uint64, e jury.Entry) uint64 {
	sum := fnv.New64a()
	sum.Write(encodeState(state))
	sum.Write([]byte(text(e)))
	revision := state & revisionBits
	if _, expects, found := bytes.Cut(e.Data, []byte(" expects ")); found && string(expects) == strconv.FormatUint(revision, 10) {
		revision++
	}
	return sum.Sum64()&^revisionBits | revision
}

// checkCommit: committed entries never change, come in order, and are synced by
// a majority.
func (h *history) checkCommit(w *world, n *node, entries []jury.Entry) {
	for _, e := range entries {
		if e.Index != n.applied+1 {
			h.failf("%s committed entry %d after %d", n.self, e.Index, n.applied)
			return
		}
		n.applied = e.Index
		h.checkRevision(n, next(n.state, e), text(e))
		n.state = next(n.state, e)
		known, found := h.entries[e.Index]
		if found && (known.term != e.Term || known.text != text(e) || known.state != n.state) {
			h.failf("%s committed at %d (%d, %s), but committed was (%d, %s)",
				n.self, e.Index, e.Term, text(e), known.term, known.text)
			return
		}
		if !found {
			h.entries[e.Index] = committed{term: e.Term, in: n.member.Status().Term, text: text(e), state: n.state, at: w.now}
			h.top = max(h.top, e.Index)
			h.checkMajority(w, n, e)
		}
	}
}

// checkRevision: a member's revision never falls, and each is made by one change.
func (h *history) checkRevision(n *node, state uint64, by string) {
	before, after := n.state&revisionBits, state&revisionBits
	if after < before {
		h.failf("%s goes back from revision %d to %d", n.self, before, after)
	}
	if after != before+1 {
		return
	}
	if winner, found := h.winners[after]; found && winner != by {
		h.failf("%s has revision %d by %q, another has it by %q", n.self, after, by, winner)
	}
	h.winners[after] = by
}

func (h *history) checkMajority(w *world, n *node, e jury.Entry) {
	status := n.member.Status()
	if status.Role != jury.Leader {
		return
	}
	count := 0
	for _, name := range status.Voters {
		// A disk that was lost after it synced the entry is one failure, and
		// its voter never votes again.
		disk := w.lost[name]
		if other := w.node(name); other != nil {
			disk = other.disk
		}
		if disk.holds(e.Index, e.Term) {
			count++
		}
	}
	if count <= len(status.Voters)/2 {
		h.failf("%s committed entry %d that %d of %d voters have synced", n.self, e.Index, count, len(status.Voters))
	}
}

func (h *history) checkRestore(n *node, snapshot jury.Snapshot) {
	n.applied = snapshot.Index
	if before, after := n.state&revisionBits, decodeState(snapshot.Data)&revisionBits; after < before {
		h.failf("%s is restored from revision %d to %d", n.self, before, after)
	}
	n.state = decodeState(snapshot.Data)
	if known, found := h.entries[snapshot.Index]; found && known.state != n.state {
		h.failf("%s restored another state at %d", n.self, snapshot.Index)
	}
}

// checkLeader: a term has one leader, and it holds all that was committed in
// earlier terms. A candidate may win an election after it was overtaken by one
// of a later term, when the votes come late.
func (h *history) checkLeader(n *node, term jury.Term) {
	if other, found := h.leaders[term]; found && other != n.self {
		h.failf("term %d has two leaders, %s and %s", term, other, n.self)
	}
	h.leaders[term] = n.self
	for index, entry := range h.entries {
		if entry.in >= term {
			continue
		}
		held, found := n.member.EntryTerm(index)
		inSnapshot := index <= n.member.Status().SnapshotIndex
		if !found && !inSnapshot || found && held != entry.term {
			h.failf("%s leads in term %d without the committed entry %d", n.self, term, index)
		}
	}
}

// checkDisk: two logs that agree in an entry agree in all before it.
func (h *history) checkDisk(n *node, persist jury.Persist) {
	first := len(n.disk.entries) - len(persist.Entries)
	for i := max(first, 1); i < len(n.disk.entries); i++ {
		before, e := n.disk.entries[i-1], n.disk.entries[i]
		if before.Index+1 != e.Index {
			continue
		}
		key := place{index: e.Index, term: e.Term}
		value := fmt.Sprintf("%d %s", before.Term, text(e))
		if known, found := h.written[key]; found && known != value {
			h.failf("%s holds %q at %v, another disk %q", n.self, value, key, known)
		}
		h.written[key] = value
	}
}

// checkRights: one holder of the right to order at a time, orders under way
// included, and no member takes for fresh what was stale.
func (h *history) checkRights(w *world, n *node) {
	local := n.local(w.now)
	if _, until, ok := n.member.OrderRight(local); ok {
		for _, other := range w.nodes {
			if other != n && other.heldUntil+testFlight > w.now {
				h.failf("%s may order while an order of %s may be under way until %s",
					n.self, other.self, other.heldUntil+testFlight)
			}
		}
		n.heldUntil = max(n.heldUntil, n.trueTime(until))
	}
	asOf, ok := n.member.Freshness(local)
	if !ok {
		return
	}
	fresh := n.trueTime(asOf) - time.Microsecond
	commit := n.member.Status().Commit
	if missed, found := h.entries[commit+1]; found && missed.at < fresh {
		h.failf("%s takes entry %d for the last as of %s, but %d was committed at %s",
			n.self, commit, fresh, commit+1, missed.at)
	}
}
