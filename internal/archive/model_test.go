package archive_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/archive"
	"github.com/lovagelift/lovagelift/internal/jury"
)

// model is the expected state of an archive.
type model struct {
	hardState jury.HardState
	snapshot  jury.Snapshot
	entries   []jury.Entry
	cluster   string
}

func (m model) lastIndex() jury.Index {
	if n := len(m.entries); n > 0 {
		return m.entries[n-1].Index
	}
	return m.snapshot.Index
}

// operation is a change of an archive, with the model before and after it.
type operation struct {
	name          string
	call          func(*archive.Archive) error
	before, after model
}

// randomOperations returns a valid sequence of count random operations.
func randomOperations(seed uint64, count int) []operation {
	random := rand.New(rand.NewPCG(seed, 1))
	var operations []operation
	state := model{}
	for range count {
		op := randomOperation(random, state)
		op.before = state
		state = op.after
		operations = append(operations, op)
	}
	return operations
}

func randomOperation(random *rand.Rand, m model) operation {
	switch choice := random.IntN(20); {
	case choice == 0:
		m.cluster = "parish-courts"
		return operation{name: "cluster", after: m, call: func(a *archive.Archive) error { return a.RecordCluster(m.cluster) }}
	case choice == 1:
		return randomInstall(random, m)
	case choice <= 4 && len(m.entries) > 0:
		return randomSnapshot(random, m)
	case choice <= 7 && m.snapshot.Index > 0:
		upTo := m.snapshot.Index
		return operation{name: "compact", after: m, call: func(a *archive.Archive) error { return a.Compact(upTo) }}
	default:
		return randomAppend(random, m)
	}
}

func randomAppend(random *rand.Rand, m model) operation {
	if random.IntN(3) == 0 || m.hardState.Term == 0 {
		m.hardState = jury.HardState{Term: m.hardState.Term + 1, Vote: jury.Identity(fmt.Sprintf("kgn-%d/1", random.IntN(3)))}
	}
	var truncateFrom jury.Index
	if len(m.entries) > 0 && random.IntN(4) == 0 {
		keepCount := random.IntN(len(m.entries))
		truncateFrom = m.entries[keepCount].Index
		m.entries = m.entries[:keepCount:keepCount]
	}
	var added []jury.Entry
	for range random.IntN(4) {
		data := make([]byte, random.IntN(20))
		for i := range data {
			data[i] = byte(random.Uint32())
		}
		if len(data) == 0 {
			data = nil
		}
		added = append(added, jury.Entry{Index: m.lastIndex() + 1 + jury.Index(len(added)), Term: m.hardState.Term, Kind: jury.EntryCommand, Data: data})
	}
	m.entries = append(m.entries[:len(m.entries):len(m.entries)], added...)
	hardState := m.hardState
	return operation{name: "append", after: m, call: func(a *archive.Archive) error { return a.Append(hardState, truncateFrom, added) }}
}

func randomSnapshot(random *rand.Rand, m model) operation {
	position := random.IntN(len(m.entries))
	entry := m.entries[position]
	m.snapshot = jury.Snapshot{Index: entry.Index, Term: entry.Term, Cluster: "parish-courts", Voters: []jury.Identity{"kgn-a/1", "kgn-b/2"}, Data: []byte("state of the machine")}
	m.entries = m.entries[position+1:]
	snapshot := m.snapshot
	return operation{name: "snapshot", after: m, call: func(a *archive.Archive) error { return a.SaveSnapshot(snapshot) }}
}

// randomInstall returns an operation that saves a snapshot received from the
// leader, whose last entry is not in the log.
func randomInstall(random *rand.Rand, m model) operation {
	m.hardState.Term++
	m.snapshot = jury.Snapshot{Index: m.lastIndex() + 1 + jury.Index(random.IntN(5)), Term: m.hardState.Term, Cluster: "parish-courts", Voters: []jury.Identity{"kgn-c/3"}, Data: []byte("sent")}
	if random.IntN(2) == 0 && len(m.entries) > 0 {
		m.snapshot.Index = m.entries[len(m.entries)-1].Index
	}
	m.entries = nil
	hardState, snapshot := m.hardState, m.snapshot
	return operation{name: "install", after: m, call: func(a *archive.Archive) error {
		if err := a.Append(hardState, 0, nil); err != nil {
			return err
		}
		return a.SaveSnapshot(snapshot)
	}}
}

// matches reports whether loaded equals m.
func (m model) matches(loaded archive.Loaded) bool {
	actual := model{hardState: loaded.HardState, snapshot: loaded.Snapshot, entries: loaded.Entries, cluster: loaded.ClusterID}
	return fmt.Sprintf("%+v", actual.normalized()) == fmt.Sprintf("%+v", m.normalized())
}

func (m model) normalized() model {
	if len(m.entries) == 0 {
		m.entries = nil
	}
	return m
}

// expectOneOf fails unless loaded is one of the models.
func expectOneOf(loaded archive.Loaded, context string, models ...model) {
	for _, m := range models {
		if m.matches(loaded) {
			return
		}
	}
	ExpectWithOffset(1, loaded).To(BeNil(), "%s: equals none of %+v", context, models)
}
