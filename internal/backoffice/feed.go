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

// feedServer answers the calls of entry instances, and those of control instances
// that relay for them.
type feedServer struct {
	backoffice *Backoffice
}

// Sync records an entry instance's roster record and demand, and returns what has
// changed since its last call.
func (f feedServer) Sync(_ context.Context, args courier.SyncArgs) courier.SyncReply {
	b := f.backoffice
	now := b.options.Now()
	leader, _ := b.voter.Leader()
	reply := courier.SyncReply{Leader: leader.Instance()}
	b.mu.Lock()
	b.roster.Hear(now, args.From)
	reply.Changes = b.roster.Since(now, args.Cursor)
	if members := b.membership(now).forDomain(args.FailureDomain); members.Revision != args.Members {
		reply.Members = &members
	}
	b.mu.Unlock()
	// Entry instances need only the upstreams for routing.
	reply.Changes.Instances = nil
	reply.Changes.InstanceBeats = roster.InstanceBeats{}
	held, reading := b.voter.Reading()
	reply.Reading = reading
	if held.Version > args.Edition {
		reply.Edition = b.packEdition(held)
	}
	if state := b.voter.Quarantine(now); state.Mark != args.Quarantine {
		reply.Quarantine = &state
	}
	b.orchestrator.recordDemand(now, args.From.Name, args.Demand)
	b.orchestrator.recordLimits(now, args.Limited)
	if leader != b.voter.Identity() {
		b.relay.record(now, args.From.Name, args.Demand, args.Limited)
		b.relay.fillEngineStates(now, args.Holdings, &reply)
		return reply
	}
	reply.Holdings, _, reply.HoldingsAge = b.orchestrator.engineStates(now, args.Holdings)
	return reply
}

// Gather records the demand that entry instances reported to another control plane
// instance, and returns the models that engines hold.
func (f feedServer) Gather(_ context.Context, args courier.GatherArgs) courier.GatherReply {
	o := f.backoffice.orchestrator
	now := f.backoffice.options.Now()
	for entry, demand := range args.Told {
		o.recordDemand(now, entry, demand)
	}
	o.recordLimits(now, args.Limited)
	var reply courier.GatherReply
	reply.Holdings, reply.Revision, reply.Age = o.engineStates(now, args.Holdings)
	return reply
}

// packEdition returns held with its content packed, and packs each version once for all
// callers. The content of 1,400 routes takes 0.4 MB: unpacked, it often does not
// reach 86 entry instances through the leader's link before their calls time out.
func (b *Backoffice) packEdition(held edition.Edition) *edition.Edition {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.packedEdition != nil && b.packedEdition.Version == held.Version {
		return b.packedEdition
	}
	content, err := registry.Pack(held.Content)
	if err != nil {
		b.options.Log.Error().Err(err).Uint64("version", held.Version).Msg("packing the routes failed; sending them unpacked")
		return &held
	}
	b.packedEdition = &edition.Edition{Version: held.Version, Content: content}
	return b.packedEdition
}

// membershipTTL is how long the membership is cached. Each entry instance requests
// it several times a second.
const membershipTTL = 100 * time.Millisecond

// membership holds the inner addresses of the entry instances and the control plane
// instances that were alive at computedAt. revision is a hash of them.
type membership struct {
	computedAt       time.Time
	revision         uint64
	entries          []string
	controls         []string
	controlsByDomain map[string][]string
}

// forDomain returns the membership as sent to an instance in a failure domain.
func (m membership) forDomain(domain string) courier.Members {
	return courier.Members{Revision: m.revision, Entries: m.entries, Controls: m.controls, Near: m.controlsByDomain[domain]}
}

// hash returns a hash of the addresses. It is never 0, the revision that callers
// without a membership send.
func (m membership) hash() uint64 {
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

// membership returns the instances that are alive. b.mu is held.
func (b *Backoffice) membership(now time.Time) membership {
	if now.Sub(b.cachedMembership.computedAt) < membershipTTL {
		return b.cachedMembership
	}
	b.cachedMembership = membership{computedAt: now, controlsByDomain: map[string][]string{}}
	for _, instance := range b.roster.Instances(now) {
		if instance.CallerAddress != "" {
			b.cachedMembership.entries = append(b.cachedMembership.entries, instance.InnerAddress)
		}
		if instance.Identity != "" {
			b.cachedMembership.controls = append(b.cachedMembership.controls, instance.InnerAddress)
			domain := instance.FailureDomain
			b.cachedMembership.controlsByDomain[domain] = append(b.cachedMembership.controlsByDomain[domain], instance.InnerAddress)
		}
	}
	slices.Sort(b.cachedMembership.entries)
	slices.Sort(b.cachedMembership.controls)
	b.cachedMembership.revision = b.cachedMembership.hash()
	return b.cachedMembership
}

// Want returns an engine that holds a model or an adapter, after loading it if
// necessary.
func (f feedServer) Want(ctx context.Context, args courier.WantArgs) courier.WantReply {
	return f.backoffice.orchestrator.ensureHeld(ctx, args)
}
