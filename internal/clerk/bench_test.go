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

// BenchmarkCommit measures commits of three replicas that reach each other in
// memory, with one caller and with 64 at a time, on disks in memory and on data
// folders. BenchmarkSync gives the bare rate of the disk to compare with.
func BenchmarkCommit(b *testing.B) {
	for _, disk := range []string{"memory", "archive"} {
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("%s/callers=%d", disk, callers), func(b *testing.B) {
				benchmarkCommit(b, disk == "archive", callers)
			})
		}
	}
}

func benchmarkCommit(b *testing.B, archives bool, callers int) {
	c := makeCourt(3)
	c.realTime = true
	for _, r := range c.replicas {
		if archives {
			if err := r.open(b.TempDir()); err != nil {
				b.Fatal(err)
			}
		}
		c.start(r)
	}
	stop := c.tick()
	defer func() {
		stop()
		c.close()
		for _, r := range c.replicas {
			if r.archive != nil {
				r.archive.Close()
			}
		}
	}()
	leader := c.elect(b)
	b.ResetTimer()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := caller; i < b.N; i += callers {
				if _, err := leader.clerk.Propose(context.Background(), make([]byte, commandBytes)); err != nil {
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

// tick lets the replicas see the time pass.
func (c *court) tick() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, r := range c.replicas {
		group.Go(func() {
			ticker := time.NewTicker(10 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case now := <-ticker.C:
					select {
					case r.ticks <- now:
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

// elect bootstraps the replicas and waits for a leader.
func (c *court) elect(b *testing.B) *replica {
	for _, r := range c.replicas {
		if err := r.clerk.Bootstrap(context.Background(), "bench", c.names(), nil); err != nil {
			b.Fatal(err)
		}
	}
	if _, err := c.replicas[0].clerk.Propose(context.Background(), []byte("first")); err != nil {
		b.Fatal(err)
	}
	for _, r := range c.replicas {
		if r.clerk.Status().Role == jury.Leader {
			return r
		}
	}
	b.Fatal("no leader")
	return nil
}

// BenchmarkSync measures the bare rate at which this disk syncs appended
// records of one command and of 64.
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
