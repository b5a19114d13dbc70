package backoffice

import (
	"context"
	"hash/fnv"
	"io"
	"maps"
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
	instance *Instance
}

// Sync records an entry instance's roster record and demand, and returns what has
// changed since its last call.
func (f feedServer) Sync(ctx context.Context, args courier.SyncArgs) courier.SyncReply {
	i := f.instance
	if args.Edition == 0 {
		i.awaitConfirmed(ctx)
	}
	now := i.options.Now()
	leader, _ := i.voter.Leader()
	// The versions include what the reading covers, as they are read after it.
	held, reading := i.voter.EditionWithAge()
	reply := courier.SyncReply{Leader: leader.Instance(), Reading: reading}
	i.fillVersions(args.Versions, &reply)
	voters := i.voter.Status().Voters
	i.mu.Lock()
	i.roster.Renew(now, args.From)
	reply.RosterIncomplete = i.isRosterIncomplete(now, voters)
	i.recordReportedOrigins(now, args.Streams)
	i.fillRoster(now, args.Cursor, &reply)
	if members := i.membership(now).forDomain(args.FailureDomain); members.Revision != args.Members {
		reply.Members = &members
	}
	i.mu.Unlock()
	if held.Version > args.Edition {
		reply.Edition = i.packEdition(held)
	}
	if state := i.voter.Quarantine(now); state.Mark != args.Quarantine {
		reply.Quarantine = &state
	}
	i.orchestrator.recordDemand(now, args.From.Name, args.Demand)
	i.orchestrator.recordLimits(now, args.Limited)
	if leader != i.voter.Identity() {
		i.relay.record(now, args.From.Name, args.Demand, args.Limited)
		i.relay.fillEngineStates(now, args.Holdings, &reply)
		return reply
	}
	reply.Holdings, _, reply.HoldingsAge = i.orchestrator.engineStates(now, args.Holdings)
	return reply
}

// packedRoster is the whole roster, packed at packedAt.
type packedRoster struct {
	content  []byte
	packedAt time.Time
	// expires is until when it is sent to further callers.
	expires time.Time
}

const (
	// minPackedRosterTTL is how long a packed roster is sent to further callers at least. After a
	// restart, all entry instances ask for it within a second.
	minPackedRosterTTL = 250 * time.Millisecond
	// packedRosterTTLFactor is that time as a multiple of the time that packing took, so that an
	// instance that is short of processor time spends a tenth of it on packing.
	packedRosterTTLFactor = 10
)

// fillRoster adds to reply what has changed in the roster after cursor, or the whole roster. i.mu is
// held.
func (i *Instance) fillRoster(now time.Time, cursor roster.Cursor, reply *courier.SyncReply) {
	if i.roster.Continues(cursor) {
		reply.Changes = upstreamChanges(i.roster.Since(now, cursor))
		return
	}
	if !now.Before(i.packedRoster.expires) {
		whole := upstreamChanges(i.roster.Since(now, cursor))
		content, err := courier.PackChanges(whole)
		if err != nil {
			i.options.Log.Error().Err(err).Msg("packing the roster failed; sending it unpacked")
			reply.Changes = whole
			return
		}
		took := i.options.Now().Sub(now)
		i.packedRoster = packedRoster{
			content: content, packedAt: now, expires: now.Add(max(minPackedRosterTTL, packedRosterTTLFactor*took)),
		}
	}
	reply.Roster, reply.RosterAge = i.packedRoster.content, now.Sub(i.packedRoster.packedAt)
}

// upstreamChanges returns the changes without those of instances, which entry instances don't need
// for routing.
func upstreamChanges(changes roster.Changes) roster.Changes {
	changes.Instances, changes.InstanceBeats = nil, roster.InstanceBeats{}
	return changes
}

// routesWait bounds how long the first sync of an entry instance waits for routes. It is shorter
// than the timeout of the call.
const routesWait = 400 * time.Millisecond

// awaitConfirmed waits until the replica has once been known to be up to date since its start. An
// entry instance that starts while a leader is being elected then receives the routes at once, and
// not with one of its next syncs.
func (i *Instance) awaitConfirmed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, routesWait)
	defer cancel()
	select {
	case <-i.confirmed:
	case <-ctx.Done():
	}
}

// watchConfirmed closes confirmed. All calls wait for this one goroutine: if each of them polled the
// replica, an instance with hundreds of callers would have no time left to be elected.
func (i *Instance) watchConfirmed(ctx context.Context) {
	if i.voter.AwaitConfirmed(ctx) {
		close(i.confirmed)
	}
}

// Gather records the demand that entry instances reported to another control plane
// instance, and returns the models that engines hold.
func (f feedServer) Gather(_ context.Context, args courier.GatherArgs) courier.GatherReply {
	o := f.instance.orchestrator
	now := f.instance.options.Now()
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
func (i *Instance) packEdition(held edition.Edition) *edition.Edition {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.packedEdition != nil && i.packedEdition.Version == held.Version {
		return i.packedEdition
	}
	content, err := registry.Compress(held.Content)
	if err != nil {
		i.options.Log.Error().Err(err).Uint64("version", held.Version).Msg("packing the routes failed; sending them unpacked")
		return &held
	}
	i.packedEdition = &edition.Edition{Version: held.Version, Content: content}
	return i.packedEdition
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
	openByDomain     map[string][]string
	controls         []string
	controlsByDomain map[string][]string
}

// forDomain returns the membership as sent to an instance in a failure domain.
func (m membership) forDomain(domain string) courier.Members {
	return courier.Members{
		Revision: m.revision, Entries: m.entries, Open: m.openByDomain, Controls: m.controls, Near: m.controlsByDomain[domain],
	}
}

// hash returns a hash of the addresses. It is never 0, the revision that callers
// without a membership send.
func (m membership) hash() uint64 {
	sum := fnv.New64a()
	lists := [][]string{m.entries, m.controls}
	for _, domain := range slices.Sorted(maps.Keys(m.openByDomain)) {
		lists = append(lists, []string{domain}, m.openByDomain[domain])
	}
	for _, list := range lists {
		for _, address := range list {
			_, _ = io.WriteString(sum, address)
			_, _ = sum.Write([]byte{0})
		}
		_, _ = sum.Write([]byte{1})
	}
	return max(sum.Sum64(), 1)
}

// membership returns the instances that are alive. i.mu is held.
func (i *Instance) membership(now time.Time) membership {
	if now.Sub(i.cachedMembership.computedAt) < membershipTTL {
		return i.cachedMembership
	}
	i.cachedMembership = membership{computedAt: now, openByDomain: map[string][]string{}, controlsByDomain: map[string][]string{}}
	for _, instance := range i.roster.Instances(now) {
		if instance.CallerAddress != "" {
			i.cachedMembership.entries = append(i.cachedMembership.entries, instance.InnerAddress)
		}
		if instance.CallerAddress != "" && !instance.Draining && !instance.Stale {
			open := i.cachedMembership.openByDomain
			open[instance.FailureDomain] = append(open[instance.FailureDomain], instance.CallerAddress)
		}
		if instance.Identity != "" {
			i.cachedMembership.controls = append(i.cachedMembership.controls, instance.InnerAddress)
			domain := instance.FailureDomain
			i.cachedMembership.controlsByDomain[domain] = append(i.cachedMembership.controlsByDomain[domain], instance.InnerAddress)
		}
	}
	slices.Sort(i.cachedMembership.entries)
	for _, open := range i.cachedMembership.openByDomain {
		slices.Sort(open)
	}
	slices.Sort(i.cachedMembership.controls)
	i.cachedMembership.revision = i.cachedMembership.hash()
	return i.cachedMembership
}

// Want returns an engine that holds a model or an adapter, after loading it if
// necessary.
func (f feedServer) Want(ctx context.Context, args courier.WantArgs) courier.WantReply {
	return f.instance.orchestrator.ensureHeld(ctx, args)
}
