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
	cluster := &idleCluster{state: registry.New()}
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
		cluster.upstreams = append(cluster.upstreams, roster.Upstream{Announcement: a})
	}
	return cluster
}

func (cluster *idleCluster) Configuration() *gazette.Configuration {
	return &gazette.Configuration{Declarations: declaration.Set{}}
}

func (cluster *idleCluster) Upstreams(time.Time) []roster.Upstream { return cluster.upstreams }

func (cluster *idleCluster) Manifest() manifest.View { return cluster.state.Manifest() }

func (cluster *idleCluster) OrderRight(now time.Time) (jury.Term, time.Time, bool) {
	return 1, now.Add(time.Second), true
}

func (cluster *idleCluster) Propose(_ context.Context, command registry.Command) (registry.Result, error) {
	data, err := registry.Encode(command)
	if err != nil {
		return registry.Result{}, err
	}
	cluster.index++
	return cluster.state.Apply(cluster.index, data)
}

// BenchmarkRound runs one reconciliation without a plan: all engines are recorded, and no report is
// new. The control loop runs four of them per second. snapshot-B/engine is the size of a snapshot
// per engine.
func BenchmarkRound(b *testing.B) {
	for _, engines := range []int{12, 110, 367, 1100} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			cluster := newIdleCluster(engines)
			c := foreman.NewWithoutLoop(foreman.Options{
				State: cluster, Cluster: cluster, Planner: placement.New(placement.Options{}), Client: &http.Client{},
				Now: time.Now, Log: zerolog.Nop(),
			})
			now := time.Now()
			c.Reconcile(now)
			if known := len(cluster.Manifest().Engines); known != engines {
				b.Fatal(known)
			}
			b.ReportAllocs()
			for b.Loop() {
				c.Reconcile(now)
			}
			snapshot, err := cluster.state.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(snapshot))/float64(engines), "snapshot-B/engine")
		})
	}
}
