package backoffice

import (
	"context"
	"hash/fnv"
	"io"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/registry"
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
	if members := b.members(now).of(args.FailureDomain); members.Revision != args.Members {
		reply.Members = &members
	}
	b.mu.Unlock()
	// Entry instances route to upstreams alone.
	reply.Changes.Instances = nil
	reply.Changes.InstanceBeats = roster.InstanceBeats{}
	held, reading := b.voter.Reading()
	reply.Reading = reading
	if held.Version > args.Edition {
		reply.Edition = b.packed(held)
	}
	if news := b.voter.Quarantine(now); news.Mark != args.Quarantine {
		reply.Quarantine = &news
	}
	b.orders.note(now, args.From.Name, args.Demand)
	b.orders.noteLimits(now, args.Limited)
	if leader != b.voter.Identity() {
		b.relay.note(now, args.From.Name, args.Demand, args.Limited)
		b.relay.tell(now, args.Holdings, &reply)
		return reply
	}
	reply.Holdings, _, reply.HoldingsAge = b.orders.holdings(now, args.Holdings)
	return reply
}

// Gather takes what entry instances told another control instance, and returns what
// engines hold.
func (f feed) Gather(_ context.Context, args courier.GatherArgs) courier.GatherReply {
	o := f.office.orders
	now := f.office.options.Now()
	for entry, demand := range args.Told {
		o.note(now, entry, demand)
	}
	o.noteLimits(now, args.Limited)
	var reply courier.GatherReply
	reply.Holdings, reply.Revision, reply.Age = o.holdings(now, args.Holdings)
	return reply
}

// packed returns an edition with its content packed, once for all who ask for it. One
// of 1,400 routes takes 0.4 MB: as it is, 86 entry instances did not get it through the
// leader's link within the time that they wait for an answer, again and again.
func (b *Backoffice) packed(held edition.Edition) *edition.Edition {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.packedEdition != nil && b.packedEdition.Version == held.Version {
		return b.packedEdition
	}
	content, err := registry.Pack(held.Content)
	if err != nil {
		b.options.Log.Error().Err(err).Uint64("version", held.Version).Msg("routes not packed")
		return &held
	}
	b.packedEdition = &edition.Edition{Version: held.Version, Content: content}
	return b.packedEdition
}

// membersEvery is how often the lists of members are made anew: all who ask several
// times a second get the same.
const membersEvery = 100 * time.Millisecond

// members is the inner addresses of the entry and of the control instances that were
// alive at a time, and of the control instances by failure domain. revision is a hash of
// them.
type members struct {
	at       time.Time
	revision uint64
	entries  []string
	controls []string
	near     map[string][]string
}

// of returns what an asker in a failure domain is told.
func (m members) of(domain string) courier.Members {
	return courier.Members{Revision: m.revision, Entries: m.entries, Controls: m.controls, Near: m.near[domain]}
}

// hash returns a hash of the members. It is never 0, which says that an asker knows none.
func (m members) hash() uint64 {
	sum := fnv.New64a()
	for _, list := range [][]string{m.entries, m.controls} {
		for _, address := range list {
			_, _ = io.WriteString(sum, address)
			_, _ = sum.Write([]byte{0})
		}
		_, _ = sum.Write([]byte{1})
	}
	return max(sum.Sum64(), 1)
}

// members returns who is alive. b.mu is held.
func (b *Backoffice) members(now time.Time) members {
	if now.Sub(b.known.at) < membersEvery {
		return b.known
	}
	b.known = members{at: now, near: map[string][]string{}}
	for _, instance := range b.roster.Instances(now) {
		if instance.CallerAddress != "" {
			b.known.entries = append(b.known.entries, instance.InnerAddress)
		}
		if instance.Identity != "" {
			b.known.controls = append(b.known.controls, instance.InnerAddress)
			domain := instance.FailureDomain
			b.known.near[domain] = append(b.known.near[domain], instance.InnerAddress)
		}
	}
	slices.Sort(b.known.entries)
	slices.Sort(b.known.controls)
	b.known.revision = b.known.hash()
	return b.known
}

// Want returns an engine that holds an adapter, after ordering it if need be.
func (f feed) Want(ctx context.Context, args courier.WantArgs) courier.WantReply {
	return f.office.orders.want(ctx, args)
}
