package jury_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// trio is three members on a network and disks that take no time.
type trio struct {
	now     time.Time
	members map[jury.Identity]*jury.Member
	names   []jury.Identity
	queue   []step
	commits int
}

// step is an event that is due at a member.
type step struct {
	to    jury.Identity
	event jury.Event
}

func newTrio(b *testing.B) *trio {
	t := &trio{
		now:     epoch,
		members: map[jury.Identity]*jury.Member{},
		names:   []jury.Identity{"kgn-a/1", "kgn-b/2", "kgn-c/3"},
	}
	for i, name := range t.names {
		member, err := jury.New(t.now, jury.Options{Self: name, Seed: uint64(i)}, jury.State{})
		if err != nil {
			b.Fatal(err)
		}
		t.members[name] = member
	}
	for _, name := range t.names {
		t.handle(name, jury.Bootstrap{ID: 1, Cluster: "bench", Voters: t.names})
	}
	for t.leader() == "" {
		t.pass()
	}
	return t
}

func (t *trio) leader() jury.Identity {
	for _, name := range t.names {
		if _, _, ok := t.members[name].OrderRight(t.now); ok {
			return name
		}
	}
	return ""
}

func (t *trio) pass() {
	t.now = t.now.Add(20 * time.Millisecond)
	for _, name := range t.names {
		t.handle(name, jury.Tick{})
	}
}

// handle hands over an event and all that follows from it.
func (t *trio) handle(name jury.Identity, event jury.Event) {
	t.queue = append(t.queue, step{to: name, event: event})
	for len(t.queue) > 0 {
		due := t.queue[0]
		t.queue = t.queue[1:]
		for _, action := range t.members[due.to].Handle(t.now, due.event) {
			switch a := action.(type) {
			case jury.Persist:
				t.queue = append(t.queue, step{to: due.to, event: jury.Synced{Batch: a.Batch}})
			case jury.Send:
				t.queue = append(t.queue, step{to: a.Message.To, event: jury.Receive(a)})
			case jury.Commit:
				t.commits += len(a.Entries)
			default:
			}
		}
	}
}

// BenchmarkCommit measures the processor time that three members take together
// to commit one command, alone and in batches of 64.
func BenchmarkCommit(b *testing.B) {
	for _, batch := range []int{1, 64} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			t := newTrio(b)
			proposals := make([]jury.Proposal, batch)
			for i := range proposals {
				proposals[i].Data = make([]byte, 256)
			}
			leader := t.leader()
			var index jury.Index
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i += batch {
				t.handle(leader, jury.Propose{Proposals: proposals})
				if i/batch%200 == 199 {
					t.pass()
					for _, name := range t.names {
						index = t.members[name].Status().Commit
						t.handle(name, jury.Compact{Index: index})
					}
				}
			}
			b.StopTimer()
			if t.commits < 3*b.N {
				b.Fatalf("%d of %d entries committed", t.commits, 3*b.N)
			}
		})
	}
}

// BenchmarkHeartbeat measures one round of ticks, with the heartbeats and
// answers that are due in it, of three members that have nothing to do.
func BenchmarkHeartbeat(b *testing.B) {
	t := newTrio(b)
	b.ReportAllocs()
	for b.Loop() {
		t.pass()
	}
}
