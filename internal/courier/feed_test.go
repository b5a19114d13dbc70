package courier_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
)

// blockingFeed waits for a load until its time is up.
type blockingFeed struct{}

func (blockingFeed) Sync(context.Context, courier.SyncArgs) courier.SyncReply {
	return courier.SyncReply{Leader: "here"}
}

func (blockingFeed) Origin(courier.OriginArgs) courier.OriginReply { return courier.OriginReply{} }

func (blockingFeed) CopyOrigins(courier.OriginCopyArgs) courier.OriginCopyReply {
	return courier.OriginCopyReply{}
}

func (blockingFeed) Note(context.Context, courier.NoteArgs) courier.NoteReply {
	return courier.NoteReply{}
}

func (blockingFeed) Gather(context.Context, courier.GatherArgs) courier.GatherReply {
	return courier.GatherReply{}
}

func (blockingFeed) Want(ctx context.Context, _ courier.WantArgs) courier.WantReply {
	<-ctx.Done()
	return courier.WantReply{Reason: "timed out"}
}

var _ = Describe("Want", func() {
	// Loading a model takes longer than a request may wait. If the caller timed out, it would close
	// the connection and abort all other calls in progress on it. So the callee replies first.
	It("is answered before the caller times out", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server, err := courier.NewServer(listener, courier.Services{
			Others: map[string]any{"Feed": courier.NewFeedService(blockingFeed{})},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		pool := courier.NewPool(courier.DialTCP, 5*time.Second)
		DeferCleanup(pool.Close)
		reply, err := pool.RequestModel(ctx, server.Address(), courier.WantArgs{Model: "m", Timeout: 50 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Reason).To(Equal("timed out"))
	}, SpecTimeout(30*time.Second))
})
