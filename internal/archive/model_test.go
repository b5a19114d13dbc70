package archive_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/archive"
	"github.com/lovagelift/lovagelift/internal/jury"
)

// model is what an archive should hold, kept in the plainest way.
type model struct {
	hard     jury.HardState
	snapshot jury.Snapshot
	entries  []jury.Entry
	cluster  string
}

func (m model) last() jury.Index {
	if n := len(m.entries); n > 0 {
		return m.entries[n-1].Index
	}
	return m.snapshot.Index
}

// operation is one call to an archive, with the model before and after it.
type operation struct {
	name          string
	call          func(*archive.Archive) error
	before, after model
}

// operations draws count calls that make sense one after the other.
func operations(seed uint64, count int) []operation {
	random := rand.New(rand.NewPCG(seed, 1))
	var drawn []operation
	state := model{}
	for range count {
		op := draw(random, state)
		op.before = state
		state = op.after
		drawn = append(drawn, op)
	}
	return drawn
}

func draw(random *rand.Rand, m model) operation {
	switch choice := random.IntN(20); {
	case choice == 0:
		m.cluster = "parish-courts"
		return operation{name: "cluster", after: m, call: func(a *archive.Archive) error { return a.RecordCluster(m.cluster) }}
	case choice == 1:
		return drawInstall(random, m)
	case choice <= 4 && len(m.entries) > 0:
		return drawSnapshot(random, m)
	case choice <= 7 && m.snapshot.Index > 0:
		upTo := m.snapshot.Index
		return operation{name: "compact", after: m, call: func(a *archive.Archive) error { return a.Compact(upTo) }}
	default:
		return drawAppend(random, m)
	}
}

func drawAppend(random *rand.Rand, m model) operation {
	if random.IntN(3) == 0 || m.hard.Term == 0 {
		m.hard = jury.HardState{Term: m.hard.Term + 1, Vote: jury.Identity(fmt.Sprintf("kgn-%d/1", random.IntN(3)))}
	}
	var from jury.Index
	if len(m.entries) > 0 && random.IntN(4) == 0 {
		keep := random.IntN(len(m.entries))
		from = m.entries[keep].Index
		m.entries = m.entries[:keep:keep]
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
		added = append(added, jury.Entry{Index: m.last() + 1 + jury.Index(len(added)), Term: m.hard.Term, Kind: jury.EntryCommand, Data: data})
	}
	m.entries = append(m.entries[:len(m.entries):len(m.entries)], added...)
	hard := m.hard
	return operation{name: "append", after: m, call: func(a *archive.Archive) error { return a.Append(hard, from, added) }}
}

func drawSnapshot(random *rand.Rand, m model) operation {
	at := random.IntN(len(m.entries))
	entry := m.entries[at]
	m.snapshot = jury.Snapshot{Index: entry.Index, Term: entry.Term, Cluster: "parish-courts", Voters: []jury.Identity{"kgn-a/1", "kgn-b/2"}, Data: []byte("state of the machine")}
	m.entries = m.entries[at+1:]
	taken := m.snapshot
	return operation{name: "snapshot", after: m, call: func(a *archive.Archive) error { return a.SaveSnapshot(taken) }}
}

// drawInstall draws a snapshot of another history, as a leader sends it.
func drawInstall(random *rand.Rand, m model) operation {
	m.hard.Term++
	m.snapshot = jury.Snapshot{Index: m.last() + 1 + jury.Index(random.IntN(5)), Term: m.hard.Term, Cluster: "parish-courts", Voters: []jury.Identity{"kgn-c/3"}, Data: []byte("sent")}
	if random.IntN(2) == 0 && len(m.entries) > 0 {
		m.snapshot.Index = m.entries[len(m.entries)-1].Index
	}
	m.entries = nil
	hard, sent := m.hard, m.snapshot
	return operation{name: "install", after: m, call: func(a *archive.Archive) error {
		if err := a.Append(hard, 0, nil); err != nil {
			return err
		}
		return a.SaveSnapshot(sent)
	}}
}

// matches says whether loaded is what m says.
func (m model) matches(loaded archive.Loaded) bool {
	held := model{hard: loaded.HardState, snapshot: loaded.Snapshot, entries: loaded.Entries, cluster: loaded.ClusterID}
	return fmt.Sprintf("%+v", held.normal()) == fmt.Sprintf("%+v", m.normal())
}

func (m model) normal() model {
	if len(m.entries) == 0 {
		m.entries = nil
	}
	return m
}

// expectOneOf fails unless loaded is one of the models.
func expectOneOf(loaded archive.Loaded, why string, models ...model) {
	for _, m := range models {
		if m.matches(loaded) {
			return
		}
	}
	ExpectWithOffset(1, loaded).To(BeNil(), "%s: held none of %+v", why, models)
}
