package courier_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/pause"
)

// slowFeed replies with a long list at about the time when its callers time out.
type slowFeed struct {
	blockingFeed
	entries []string
}

func (f slowFeed) Sync(ctx context.Context, _ courier.SyncArgs) courier.SyncReply {
	pause.For(ctx, time.Millisecond)
	return courier.SyncReply{Leader: "late", Members: &courier.Members{Entries: f.entries}}
}

var _ = Describe("Sync", func() {
	// A reply arrives at the moment when its caller times out. If the caller returned the value
	// that is still being written, it could contain half a name or half a list. The race detector
	// reports this within some hundred calls.
	It("returns no part of a reply that arrives as the call times out", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server, err := courier.NewServer(listener, courier.Services{
			Others: map[string]any{"Feed": courier.NewFeedService(slowFeed{entries: make([]string, 20_000)})},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		pool := courier.NewPool(courier.DialTCP, 5*time.Second)
		DeferCleanup(pool.Close)
		for i := range 300 {
			callContext, cancel := context.WithTimeout(ctx, 2*time.Millisecond+time.Duration(i%60)*200*time.Microsecond)
			reply, err := pool.Sync(callContext, server.Address(), courier.SyncArgs{})
			cancel()
			if err != nil {
				Expect(reply).To(Equal(courier.SyncReply{}))
			}
		}
	}, SpecTimeout(60*time.Second))
})
