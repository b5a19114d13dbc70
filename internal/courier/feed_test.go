package courier_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
)

// waitingFeed waits for a load as long as it may.
type waitingFeed struct{}

func (waitingFeed) Sync(context.Context, courier.SyncArgs) courier.SyncReply {
	return courier.SyncReply{Leader: "here"}
}

func (waitingFeed) Note(context.Context, courier.NoteArgs) courier.NoteReply {
	return courier.NoteReply{}
}

func (waitingFeed) Gather(context.Context, courier.GatherArgs) courier.GatherReply {
	return courier.GatherReply{}
}

func (waitingFeed) Want(ctx context.Context, _ courier.WantArgs) courier.WantReply {
	<-ctx.Done()
	return courier.WantReply{Reason: "not in time"}
}

var _ = Describe("Want", func() {
	// A model takes longer to load than a request waits. The asker would give the
	// call up and close the connection, which ends all other calls that are under
	// way on it; so the callee answers first.
	It("is answered before the asker gives it up", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server, err := courier.NewServer(listener, courier.Services{
			Others: map[string]any{"Feed": courier.NewFeedService(waitingFeed{})},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		pool := courier.NewPool(courier.DialTCP, 5*time.Second)
		DeferCleanup(pool.Close)
		reply, err := pool.Want(ctx, server.Address(), courier.WantArgs{Model: "m", Timeout: 50 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Reason).To(Equal("not in time"))
	}, SpecTimeout(30*time.Second))
})
