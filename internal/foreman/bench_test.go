package foreman_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/foreman"
	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/placement"
	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// idleCluster has engines with two accelerators and four models each, and no pending work.
type idleCluster struct {
	state     *registry.Registry
	index     jury.Index
	upstreams []roster.Upstream
}

func newIdleCluster(engines int) *idleCluster {
	c := &idleCluster{state: registry.New()}
	for i := range engines {
		a := upstreamapi.Announcement{
			Name: fmt.Sprintf("e%04d", i), Incarnation: 1, Revision: 9, Kind: upstreamapi.KindEngine, FailureDomain: "d",
			Address: "127.0.0.1:9", Fencing: upstreamapi.FencingChecked,
			Capabilities: []upstreamapi.Capability{upstreamapi.CapabilityOrders, upstreamapi.CapabilityOrderStatus},
			Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 80 * gib}, {Name: "a1", MemoryBytes: 80 * gib}},
		}
		for m := range 4 {
			a.Resident = append(a.Resident, upstreamapi.Resident{
				Model: fmt.Sprintf("m%04d", (4*i+m)%1700), Version: "1", Adapters: []string{"x", "y"},
				Accelerators: []string{fmt.Sprint("a", m%2)}, MemoryBytes: 30 * gib,
			})
		}
		c.upstreams = append(c.upstreams, roster.Upstream{Announcement: a})
	}
	return c
}

func (c *idleCluster) Configuration() *gazette.Configuration {
	return &gazette.Configuration{Declarations: declaration.Set{}}
}

func (c *idleCluster) Upstreams(time.Time) []roster.Upstream { return c.upstreams }

func (c *idleCluster) Manifest() manifest.View { return c.state.Manifest() }

func (c *idleCluster) OrderRight(now time.Time) (jury.Term, time.Time, bool) {
	return 1, now.Add(time.Second), true
}

func (c *idleCluster) Propose(_ context.Context, command registry.Command) (registry.Result, error) {
	data, err := registry.Encode(command)
	if err != nil {
		return registry.Result{}, err
	}
	c.index++
	return c.state.Apply(c.index, data)
}

// BenchmarkRound runs one reconciliation without a plan: all engines are recorded, and no report is
// new. The control loop runs four of them per second. snapshot-B/engine is the size of a snapshot
// per engine.
func BenchmarkRound(b *testing.B) {
	for _, engines := range []int{12, 110, 367, 1100} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			c := newIdleCluster(engines)
			f := foreman.NewWithoutLoop(foreman.Options{
				State: c, Cluster: c, Planner: placement.New(placement.Options{}), Client: &http.Client{},
				Now: time.Now, Log: zerolog.Nop(),
			})
			now := time.Now()
			f.Reconcile(now)
			if known := len(c.Manifest().Engines); known != engines {
				b.Fatal(known)
			}
			b.ReportAllocs()
			for b.Loop() {
				f.Reconcile(now)
			}
			snapshot, err := c.state.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(snapshot))/float64(engines), "snapshot-B/engine")
		})
	}
}
