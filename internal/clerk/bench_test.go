package clerk_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// commandBytes is the size of a command in the benchmarks.
const commandBytes = 256

// BenchmarkCommit measures commits on a cluster of three replicas with an in-memory transport, for
// 1 and 64 concurrent callers, with in-memory stores and with data folders on disk. BenchmarkSync
// measures the sync rate of the disk for comparison.
func BenchmarkCommit(b *testing.B) {
	for _, disk := range []string{"memory", "archive"} {
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("%s/callers=%d", disk, callers), func(b *testing.B) {
				benchmarkCommit(b, disk == "archive", callers)
			})
		}
	}
}

func benchmarkCommit(b *testing.B, onDisk bool, callers int) {
	c := newStoppedCluster(3)
	c.realTime = true
	for _, n := range c.nodes {
		if onDisk {
			if err := n.open(b.TempDir()); err != nil {
				b.Fatal(err)
			}
		}
		c.start(n)
	}
	stop := c.startTicking()
	defer func() {
		stop()
		c.close()
		for _, n := range c.nodes {
			if n.archive != nil {
				n.archive.Close()
			}
		}
	}()
	leader := c.elect(b)
	b.ResetTimer()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := caller; i < b.N; i += callers {
				if _, err := leader.replica.Propose(context.Background(), make([]byte, commandBytes)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}

// startTicking sends ticks to all replicas in real time.
func (c *cluster) startTicking() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, n := range c.nodes {
		group.Go(func() {
			ticker := time.NewTicker(10 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case now := <-ticker.C:
					select {
					case n.ticks <- now:
					case <-ctx.Done():
						return
					}
				}
			}
		})
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// elect bootstraps the cluster and waits for a leader.
func (c *cluster) elect(b *testing.B) *node {
	for _, n := range c.nodes {
		if err := n.replica.Bootstrap(context.Background(), "bench", c.identities(), nil); err != nil {
			b.Fatal(err)
		}
	}
	if _, err := c.nodes[0].replica.Propose(context.Background(), []byte("first")); err != nil {
		b.Fatal(err)
	}
	for _, n := range c.nodes {
		if n.replica.Status().Role == jury.Leader {
			return n
		}
	}
	b.Fatal("no leader")
	return nil
}

// BenchmarkSync measures the rate at which the disk syncs appended records of 1 and of 64 commands.
func BenchmarkSync(b *testing.B) {
	for _, commands := range []int{1, 64} {
		b.Run(fmt.Sprintf("commands=%d", commands), func(b *testing.B) {
			file, err := os.Create(filepath.Join(b.TempDir(), "log"))
			if err != nil {
				b.Fatal(err)
			}
			defer file.Close()
			record := make([]byte, commands*commandBytes)
			for b.Loop() {
				if _, err := file.Write(record); err != nil {
					b.Fatal(err)
				}
				if err := file.Sync(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "syncs/s")
		})
	}
}
