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

// lateFeed answers with a long list, about when its askers give up.
type lateFeed struct {
	waitingFeed
	entries []string
}

func (f lateFeed) Sync(ctx context.Context, _ courier.SyncArgs) courier.SyncReply {
	pause.For(ctx, time.Millisecond)
	return courier.SyncReply{Leader: "late", Members: &courier.Members{Entries: f.entries}}
}

var _ = Describe("Sync", func() {
	// An answer comes at the moment at which its asker gives the call up. What the asker
	// returned was still being written: a name or a list could be half of the answer's. The
	// race detector tells it within some hundred calls.
	It("gives nothing of an answer that comes as the call is given up", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server, err := courier.NewServer(listener, courier.Services{
			Others: map[string]any{"Feed": courier.NewFeedService(lateFeed{entries: make([]string, 20_000)})},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		pool := courier.NewPool(courier.DialTCP, 5*time.Second)
		DeferCleanup(pool.Close)
		for i := range 300 {
			bounded, cancel := context.WithTimeout(ctx, 2*time.Millisecond+time.Duration(i%60)*200*time.Microsecond)
			reply, err := pool.Sync(bounded, server.Address(), courier.SyncArgs{})
			cancel()
			if err != nil {
				Expect(reply).To(Equal(courier.SyncReply{}))
			}
		}
	}, SpecTimeout(60*time.Second))
})
