package courier_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// stubControl is a voter whose configuration does not change.
type stubControl struct{}

func (stubControl) Deliver(jury.Message) {}

func (stubControl) ProposeLocally(context.Context, []byte) courier.Proposed {
	return courier.Proposed{Fate: courier.ProposalExecuted, Result: make([]byte, 100)}
}

func (c stubControl) Propose(ctx context.Context, command []byte) courier.Proposed {
	return c.ProposeLocally(ctx, command)
}

func (stubControl) Configuration(registry.Revision, uint64) courier.Configuration {
	return courier.Configuration{Cluster: "0123456789abcdef", Confirmed: true, Age: 20 * time.Millisecond}
}

func (stubControl) Lookup(context.Context, docket.Key) courier.Recorded { return courier.Recorded{} }

func (stubControl) ChangeVoters(context.Context, courier.VotersChange) courier.Proposed {
	return courier.Proposed{}
}

func (stubControl) BootstrapState() courier.Founding { return courier.Founding{} }

func (stubControl) Bootstrap(context.Context, courier.Charter) error { return nil }

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkSlopeCalls measures the cost of a call between instances: a follower's check that
// its configuration is in force, and a claim of 300 bytes. Both ends run in one process, and each
// caller has its own connection.
func BenchmarkSlopeCalls(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server, err := courier.NewServer(listener, courier.Services{
		Others: map[string]any{"Control": courier.NewControlService(stubControl{})},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("call=configuration/callers=%d", callers), func(b *testing.B) {
			benchmarkCalls(b, callers, func(pool *courier.Pool) error {
				_, err := pool.Configuration(context.Background(), server.Address(), 7, 0)
				return err
			})
		})
		b.Run(fmt.Sprintf("call=claim/callers=%d", callers), func(b *testing.B) {
			command := make([]byte, 300)
			benchmarkCalls(b, callers, func(pool *courier.Pool) error {
				pool.Propose(context.Background(), server.Address(), command, false)
				return nil
			})
		})
	}
}

func benchmarkCalls(b *testing.B, callers int, call func(*courier.Pool) error) {
	var bytes atomic.Int64
	pools := make([]*courier.Pool, callers)
	for n := range pools {
		pools[n] = courier.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
			var dialer net.Dialer
			conn, err := dialer.DialContext(ctx, "tcp", address)
			return countingConn{conn, &bytes}, err
		}, 10*time.Second)
		defer pools[n].Close()
		// The first call on a connection also carries the type descriptions.
		if err := call(pools[n]); err != nil {
			b.Fatal(err)
		}
	}
	bytes.Store(0)
	b.ResetTimer()
	var goroutines sync.WaitGroup
	for n, pool := range pools {
		goroutines.Go(func() {
			for range b.N/callers + min(1, max(0, b.N%callers-n)) {
				if err := call(pool); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	goroutines.Wait()
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}
