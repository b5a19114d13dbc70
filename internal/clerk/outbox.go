package clerk

import (
	"context"
	"sync"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// peerQueueCapacity is the capacity of each queue to a peer, in messages.
const peerQueueCapacity = 64

// peerQueues are the outgoing queues for one peer. Heartbeats and votes don't wait behind entries
// and snapshots: a slow transfer must not cost the leader its lease.
type peerQueues struct {
	urgent chan jury.Message
	bulk   chan jury.Message
}

// outbox sends messages asynchronously, so that the member never blocks on the network.
type outbox struct {
	ctx       context.Context
	transport Transport
	metrics   metrics
	// queues is used only by the loop's goroutine.
	queues     map[jury.Identity]peerQueues
	goroutines sync.WaitGroup
}

func newOutbox(ctx context.Context, transport Transport, m metrics) *outbox {
	return &outbox{ctx: ctx, transport: transport, metrics: m, queues: map[jury.Identity]peerQueues{}}
}

// enqueue queues a message. If the queue is full, it drops the message: the protocol retransmits
// where necessary.
func (o *outbox) enqueue(message jury.Message) {
	queues, found := o.queues[message.To]
	if !found {
		queues = peerQueues{urgent: make(chan jury.Message, peerQueueCapacity), bulk: make(chan jury.Message, peerQueueCapacity)}
		o.queues[message.To] = queues
		o.goroutines.Go(func() { o.run(queues.urgent) })
		o.goroutines.Go(func() { o.run(queues.bulk) })
	}
	queue := queues.urgent
	switch message.Body.(type) {
	case jury.Append, jury.InstallRequest:
		queue = queues.bulk
	default:
	}
	select {
	case queue <- message:
	default:
		o.metrics.droppedMessages.Inc(1)
	}
}

func (o *outbox) run(queue chan jury.Message) {
	for {
		select {
		case <-o.ctx.Done():
			return
		case message := <-queue:
			if err := o.transport.Send(o.ctx, message); err != nil {
				o.metrics.droppedMessages.Inc(1)
			}
		}
	}
}

// close waits for the sending goroutines to end. ctx must be canceled first.
func (o *outbox) close() {
	o.goroutines.Wait()
}
