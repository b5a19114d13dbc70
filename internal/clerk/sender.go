package clerk

import (
	"context"
	"sync"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// laneSize bounds the messages that wait for one peer in one lane.
const laneSize = 64

// lanes are the queues to one peer. Heartbeats and votes do not wait behind
// entries and snapshots: a slow copy must not cost the leader its lease.
type lanes struct {
	urgent chan jury.Message
	bulk   chan jury.Message
}

// senders send messages without ever making the member wait.
type senders struct {
	ctx     context.Context
	courier Courier
	metrics metrics
	// peers is used by the loop's goroutine only.
	peers map[jury.Identity]lanes
	done  sync.WaitGroup
}

func newSenders(ctx context.Context, courier Courier, m metrics) *senders {
	return &senders{ctx: ctx, courier: courier, metrics: m, peers: map[jury.Identity]lanes{}}
}

// send queues a message. If the queue is full, the message is dropped: the
// protocol sends again what matters.
func (s *senders) send(message jury.Message) {
	peer, found := s.peers[message.To]
	if !found {
		peer = lanes{urgent: make(chan jury.Message, laneSize), bulk: make(chan jury.Message, laneSize)}
		s.peers[message.To] = peer
		s.done.Go(func() { s.run(peer.urgent) })
		s.done.Go(func() { s.run(peer.bulk) })
	}
	lane := peer.urgent
	switch message.Body.(type) {
	case jury.Append, jury.InstallRequest:
		lane = peer.bulk
	default:
	}
	select {
	case lane <- message:
	default:
		s.metrics.dropped.Inc(1)
	}
}

func (s *senders) run(lane chan jury.Message) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case message := <-lane:
			if err := s.courier.Deliver(s.ctx, message); err != nil {
				s.metrics.dropped.Inc(1)
			}
		}
	}
}

// close waits for the goroutines, after ctx has ended.
func (s *senders) close() {
	s.done.Wait()
}
