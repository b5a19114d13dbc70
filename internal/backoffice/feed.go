package backoffice

import (
	"context"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/roster"
)

// feed answers entry instances.
type feed struct {
	office *Backoffice
}

// Sync takes an entry instance's record and demand, and returns the news.
func (f feed) Sync(_ context.Context, args courier.SyncArgs) courier.SyncReply {
	b := f.office
	now := b.options.Now()
	leader, _ := b.voter.Leader()
	reply := courier.SyncReply{Leader: leader.Instance()}
	b.mu.Lock()
	b.roster.Hear(now, args.From)
	reply.Changes = b.roster.Since(now, args.Cursor)
	for _, instance := range b.roster.Instances(now) {
		if instance.CallerAddress != "" {
			reply.Entries = append(reply.Entries, instance.InnerAddress)
		}
		if instance.Identity != "" {
			reply.Controls = append(reply.Controls, instance.InnerAddress)
		}
	}
	b.mu.Unlock()
	// Entry instances route to upstreams alone.
	reply.Changes.Instances = nil
	reply.Changes.InstanceBeats = roster.InstanceBeats{}
	if held := b.voter.Edition(); held.Version > args.Edition {
		reply.Edition = &held
	}
	b.orders.note(now, args.From.Name, args.Demand)
	reply.Holdings = b.orders.holdings(now, args.Holdings)
	return reply
}

// Want returns an engine that holds an adapter, after ordering it if need be.
func (f feed) Want(ctx context.Context, args courier.WantArgs) courier.WantReply {
	return f.office.orders.want(ctx, args)
}
