package courier_test

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/roster"
)

var _ = Describe("Pool", func() {
	serve := func() string {
		GinkgoHelper()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server, err := courier.NewServer(listener, courier.Services{
			Roster: courier.NewRosterService(func(roster.Cursor, *roster.InstanceRecord) roster.Changes { return roster.Changes{} }),
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		return listener.Addr().String()
	}

	// Guards against a second without service after a loss of power: the SYN to an instance that
	// has no power yet is lost, and TCP repeats it only after a second.
	It("connects to an instance that does not respond at first", func(ctx SpecContext) {
		address := serve()
		var attempts atomic.Int32
		pool := courier.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
			if attempts.Add(1) == 1 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return courier.DialTCP(ctx, address)
		}, time.Minute)
		defer pool.Close()
		_, err := pool.PullRoster(ctx, address, roster.Cursor{}, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(attempts.Load()).To(BeEquivalentTo(2))
	}, SpecTimeout(20*time.Second))

	It("does not try again if the connection is refused", func(ctx SpecContext) {
		var attempts atomic.Int32
		pool := courier.NewPool(func(context.Context, string) (net.Conn, error) {
			attempts.Add(1)
			return nil, net.ErrClosed
		}, time.Minute)
		defer pool.Close()
		_, err := pool.PullRoster(ctx, "127.0.0.1:1", roster.Cursor{}, nil)
		Expect(err).To(MatchError(net.ErrClosed))
		Expect(attempts.Load()).To(BeEquivalentTo(1))
	}, SpecTimeout(20*time.Second))
})
