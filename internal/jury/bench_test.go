package jury_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// benchCluster is three members whose network and disks have no delay.
type benchCluster struct {
	now       time.Time
	members   map[jury.Identity]*jury.Member
	ids       []jury.Identity
	pending   []delivery
	committed int
}

// delivery is an event to be handled by a member.
type delivery struct {
	to    jury.Identity
	event jury.Event
}

func newBenchCluster(b *testing.B) *benchCluster {
	cluster := &benchCluster{
		now:     epoch,
		members: map[jury.Identity]*jury.Member{},
		ids:     []jury.Identity{"kgn-a/1", "kgn-b/2", "kgn-c/3"},
	}
	for i, id := range cluster.ids {
		member, err := jury.New(cluster.now, jury.Options{Self: id, Seed: uint64(i)}, jury.State{})
		if err != nil {
			b.Fatal(err)
		}
		cluster.members[id] = member
	}
	for _, id := range cluster.ids {
		cluster.handleAll(id, jury.Bootstrap{ID: 1, Cluster: "bench", Voters: cluster.ids})
	}
	for cluster.leader() == "" {
		cluster.advance()
	}
	return cluster
}

func (c *benchCluster) leader() jury.Identity {
	for _, id := range c.ids {
		if _, _, ok := c.members[id].OrderRight(c.now); ok {
			return id
		}
	}
	return ""
}

func (c *benchCluster) advance() {
	c.now = c.now.Add(20 * time.Millisecond)
	for _, id := range c.ids {
		c.handleAll(id, jury.Tick{})
	}
}

// handleAll handles an event and all events that result from it.
func (c *benchCluster) handleAll(id jury.Identity, event jury.Event) {
	c.pending = append(c.pending, delivery{to: id, event: event})
	for len(c.pending) > 0 {
		next := c.pending[0]
		c.pending = c.pending[1:]
		for _, action := range c.members[next.to].Handle(c.now, next.event) {
			switch a := action.(type) {
			case jury.Persist:
				c.pending = append(c.pending, delivery{to: next.to, event: jury.Synced{Batch: a.Batch}})
			case jury.Send:
				c.pending = append(c.pending, delivery{to: a.Message.To, event: jury.Receive(a)})
			case jury.Commit:
				c.committed += len(a.Entries)
			default:
			}
		}
	}
}

// BenchmarkCommit measures the total CPU time of three members to commit one
// command, individually and in batches of 64.
func BenchmarkCommit(b *testing.B) {
	for _, batch := range []int{1, 64} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			cluster := newBenchCluster(b)
			proposals := make([]jury.Proposal, batch)
			for i := range proposals {
				proposals[i].Data = make([]byte, 256)
			}
			leader := cluster.leader()
			var index jury.Index
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i += batch {
				cluster.handleAll(leader, jury.Propose{Proposals: proposals})
				if i/batch%200 == 199 {
					cluster.advance()
					for _, id := range cluster.ids {
						index = cluster.members[id].Status().Commit
						cluster.handleAll(id, jury.Compact{Index: index})
					}
				}
			}
			b.StopTimer()
			if cluster.committed < 3*b.N {
				b.Fatalf("%d of %d entries committed", cluster.committed, 3*b.N)
			}
		})
	}
}

// BenchmarkHeartbeat measures one tick of each of three idle members, including
// the heartbeats and answers that are due.
func BenchmarkHeartbeat(b *testing.B) {
	cluster := newBenchCluster(b)
	b.ReportAllocs()
	for b.Loop() {
		cluster.advance()
	}
}
