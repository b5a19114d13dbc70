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

// entryPosition identifies a log entry by its index and term.
type entryPosition struct {
	index jury.Index
	term  jury.Term
}

type committedEntry struct {
	term jury.Term
	// committedIn is the term of the first member that reported the commit. It
	// may be slightly higher than the term in which the entry was committed.
	committedIn jury.Term
	text        string
	// state is the state of the state machine after the entry.
	state       uint64
	committedAt time.Duration
}

// history records the events of a simulation and checks the invariants.
type history struct {
	// err is the first violation of an invariant.
	err     error
	leaders map[jury.Term]jury.Identity
	entries map[jury.Index]committedEntry
	// highestCommit is the highest committed index.
	highestCommit jury.Index
	// written are the entries that were synced on any disk, each with the term
	// of the entry before it.
	written map[entryPosition]string
	// changeByRevision is the change that created each revision.
	changeByRevision map[uint64]string
}

func newHistory() history {
	return history{
		leaders:          map[jury.Term]jury.Identity{},
		entries:          map[jury.Index]committedEntry{},
		written:          map[entryPosition]string{},
		changeByRevision: map[uint64]string{},
	}
}

func (h *history) failf(format string, args ...any) {
	if h.err == nil {
		h.err = fmt.Errorf(format, args...)
	}
}

func entryText(e jury.Entry) string {
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

// revisionBits masks the low bits of a state, which contain its revision.
const revisionBits = 1<<16 - 1

// newCommand returns a command that creates a new revision if the current
// revision is the expected one (compare and swap).
func newCommand(id uint64, expected uint64) []byte {
	return fmt.Appendf(nil, "change-%d expects %d", id, expected)
}

// applyEntry is the state machine. The state is a hash over all entries so far,
// combined with the number of commands that found their expected revision.
func applyEntry(state uint64, e jury.Entry) uint64 {
	sum := fnv.New64a()
	sum.Write(encodeState(state))
	sum.Write([]byte(entryText(e)))
	revision := state & revisionBits
	if _, expects, found := bytes.Cut(e.Data, []byte(" expects ")); found && string(expects) == strconv.FormatUint(revision, 10) {
		revision++
	}
	return sum.Sum64()&^revisionBits | revision
}

// checkCommit verifies that committed entries never change, are delivered in
// order and are synced by a majority.
func (h *history) checkCommit(sim *simulation, n *node, entries []jury.Entry) {
	for _, e := range entries {
		if e.Index != n.appliedIndex+1 {
			h.failf("%s committed entry %d after %d", n.identity, e.Index, n.appliedIndex)
			return
		}
		n.appliedIndex = e.Index
		h.checkRevision(n, applyEntry(n.appliedState, e), entryText(e))
		n.appliedState = applyEntry(n.appliedState, e)
		known, found := h.entries[e.Index]
		if found && (known.term != e.Term || known.text != entryText(e) || known.state != n.appliedState) {
			h.failf("%s committed at index %d (%d, %s), but (%d, %s) was committed there before",
				n.identity, e.Index, e.Term, entryText(e), known.term, known.text)
			return
		}
		if !found {
			h.entries[e.Index] = committedEntry{term: e.Term, committedIn: n.member.Status().Term, text: entryText(e), state: n.appliedState, committedAt: sim.now}
			h.highestCommit = max(h.highestCommit, e.Index)
			h.checkMajority(sim, n, e)
		}
	}
}

// checkRevision verifies that a member's revision never decreases and that each
// revision is created by the same change on all members.
func (h *history) checkRevision(n *node, state uint64, command string) {
	before, after := n.appliedState&revisionBits, state&revisionBits
	if after < before {
		h.failf("%s goes back from revision %d to %d", n.identity, before, after)
	}
	if after != before+1 {
		return
	}
	if known, found := h.changeByRevision[after]; found && known != command {
		h.failf("%s created revision %d by %q, another member by %q", n.identity, after, command, known)
	}
	h.changeByRevision[after] = command
}

// checkMajority verifies that a majority has synced an entry that the leader
// committed.
func (h *history) checkMajority(sim *simulation, n *node, e jury.Entry) {
	status := n.member.Status()
	if status.Role != jury.Leader {
		return
	}
	count := 0
	for _, id := range status.Voters {
		// A lost disk that had synced the entry still counts: it is a single
		// failure, and its voter never votes again.
		disk := sim.lostDisks[id]
		if other := sim.nodeByIdentity(id); other != nil {
			disk = other.disk
		}
		if disk.holds(e.Index, e.Term) {
			count++
		}
	}
	if count <= len(status.Voters)/2 {
		h.failf("%s committed entry %d, but only %d of %d voters have synced it", n.identity, e.Index, count, len(status.Voters))
	}
}

func (h *history) checkRestore(n *node, snapshot jury.Snapshot) {
	n.appliedIndex = snapshot.Index
	if before, after := n.appliedState&revisionBits, decodeState(snapshot.Data)&revisionBits; after < before {
		h.failf("%s restored a snapshot that goes back from revision %d to %d", n.identity, before, after)
	}
	n.appliedState = decodeState(snapshot.Data)
	if known, found := h.entries[snapshot.Index]; found && known.state != n.appliedState {
		h.failf("%s restored a different state at index %d", n.identity, snapshot.Index)
	}
}

// checkLeader verifies that a term has only one leader and that this leader has
// all entries that were committed in earlier terms. Entries committed in later
// terms are ignored, because a candidate may win with delayed votes after a
// leader of a later term was elected.
func (h *history) checkLeader(n *node, term jury.Term) {
	if other, found := h.leaders[term]; found && other != n.identity {
		h.failf("term %d has two leaders, %s and %s", term, other, n.identity)
	}
	h.leaders[term] = n.identity
	for index, entry := range h.entries {
		if entry.committedIn >= term {
			continue
		}
		heldTerm, found := n.member.EntryTerm(index)
		inSnapshot := index <= n.member.Status().SnapshotIndex
		if !found && !inSnapshot || found && heldTerm != entry.term {
			h.failf("%s leads in term %d without the committed entry %d", n.identity, term, index)
		}
	}
}

// checkLogMatching verifies the log matching property: two logs that contain the
// same entry are identical up to it.
func (h *history) checkLogMatching(n *node, persist jury.Persist) {
	first := len(n.disk.entries) - len(persist.Entries)
	for i := max(first, 1); i < len(n.disk.entries); i++ {
		before, e := n.disk.entries[i-1], n.disk.entries[i]
		if before.Index+1 != e.Index {
			continue
		}
		key := entryPosition{index: e.Index, term: e.Term}
		value := fmt.Sprintf("%d %s", before.Term, entryText(e))
		if known, found := h.written[key]; found && known != value {
			h.failf("%s has %q at %v, another disk has %q", n.identity, value, key, known)
		}
		h.written[key] = value
	}
}

// checkOrderRightAndFreshness verifies that at most one member at a time has the
// right to send orders or orders in flight, and that no member's Freshness is
// later than the commit of an entry that the member lacks.
func (h *history) checkOrderRightAndFreshness(sim *simulation, n *node) {
	local := n.localTime(sim.now)
	if _, until, ok := n.member.OrderRight(local); ok {
		for _, other := range sim.nodes {
			if other != n && other.orderRightUntil+testOrderTimeout > sim.now {
				h.failf("%s may send orders while an order of %s may be in flight until %s",
					n.identity, other.identity, other.orderRightUntil+testOrderTimeout)
			}
		}
		n.orderRightUntil = max(n.orderRightUntil, n.trueTime(until))
	}
	asOf, ok := n.member.Freshness(local)
	if !ok {
		return
	}
	confirmedAt := n.trueTime(asOf) - time.Microsecond
	commit := n.member.Status().Commit
	if next, found := h.entries[commit+1]; found && next.committedAt < confirmedAt {
		h.failf("%s takes entry %d for the latest committed at %s, but entry %d was committed at %s",
			n.identity, commit, confirmedAt, commit+1, next.committedAt)
	}
}
