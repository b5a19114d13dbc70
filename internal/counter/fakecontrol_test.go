package counter_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// openEntries are the entry instances that accept requests.
var openEntries = map[string][]string{"here": {"127.0.0.1:2", "127.0.0.1:3"}, "there": {"127.0.0.1:4"}}

// fakeControl is a control instance that serves syncs.
type fakeControl struct {
	mu     sync.Mutex
	roster *roster.Roster
	syncs  []courier.SyncArgs
	// leaderless is true while the control instance knows no leader.
	leaderless bool
	// rosterIncomplete is true while the control instance may not know all upstreams. ignored are the
	// instances that get no usable reply.
	rosterIncomplete bool
	ignored          map[string]bool
	// catchingUp is true while the control instance has not applied all committed changes.
	// editions are the contents of the committed versions of the routes, the first one being 1.
	catchingUp bool
	editions   []string
	address    string
	// otherEntries are the entry instances other than the caller. loadCalls is the number of load
	// calls received.
	otherEntries []string
	loadCalls    int
	// loadWait is the longest wait that a load call has stated.
	loadWait time.Duration
	// loads maps the number of a load call to the reply. Others get one without an engine, which states that
	// there can be none if unavailable is set.
	loads       map[int]courier.WantReply
	unavailable bool
	// exactEntries, if set, are all entry instances.
	exactEntries []string
	// quarantine, if set, is served to the callers. reported holds the reported crashes.
	quarantine *quarantine.News
	reported   quarantine.Update
	// origins are the reported origins of streams, and versions the recorded software versions.
	origins  map[resumption.StreamID]resumption.Origin
	versions resumption.Records
	// keepsRecords is true if callers without a list of versions get one even if it is empty.
	keepsRecords bool
}

func newFakeControl() *fakeControl {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	c := &fakeControl{
		address: listener.Addr().String(), origins: map[resumption.StreamID]resumption.Origin{}, editions: []string{allRoutes},
		roster: roster.New(roster.Options{Self: "control", Incarnation: 1, Lease: time.Minute, AllowRestartElsewhere: true}),
	}
	server, err := courier.NewServer(listener, courier.Services{Others: map[string]any{"Feed": courier.NewFeedService(c)}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return c
}

func (c *fakeControl) Sync(_ context.Context, args courier.SyncArgs) courier.SyncReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.syncs = append(c.syncs, args)
	for _, group := range args.Streams {
		if c.ignored[args.From.Name] {
			break
		}
		for _, stream := range group.Streams {
			c.origins[stream] = group.Origin
		}
	}
	reply := courier.SyncReply{
		Leader: c.address, RosterIncomplete: c.rosterIncomplete, Reading: edition.Reading{Version: 1, Confirmed: !c.catchingUp},
		Changes: c.roster.Since(time.Now(), args.Cursor),
		Members: &courier.Members{Controls: []string{c.address}, Entries: append([]string{args.From.Name}, c.otherEntries...), Open: openEntries},
	}
	if c.exactEntries != nil {
		reply.Members.Entries = c.exactEntries
	}
	if c.quarantine != nil && c.quarantine.Mark != args.Quarantine {
		reply.Quarantine = c.quarantine
	}
	if c.leaderless || c.ignored[args.From.Name] {
		reply.Leader = ""
	}
	if args.Versions < c.versions.Revision() && !c.catchingUp {
		list := resumption.ListOf(c.versions)
		reply.Versions = &list
	}
	if reply.Versions == nil && c.keepsRecords && args.Versions == 0 {
		reply.Versions = &resumption.VersionList{}
	}
	last := len(c.editions) - 1
	if c.catchingUp {
		last = 0
	}
	current := edition.Edition{Version: uint64(last + 1), Content: []byte(c.editions[last])}
	reply.Reading.Version = current.Version
	if args.Edition < current.Version {
		reply.Edition = &current
	}
	return reply
}

// setHasLeader sets whether the control instance knows a leader. Its replies are ignored if not.
func (c *fakeControl) setHasLeader(hasLeader bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderless = !hasLeader
}

// setRosterIncomplete sets whether the control instance may not know all upstreams.
func (c *fakeControl) setRosterIncomplete(incomplete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rosterIncomplete = incomplete
}

// ignore makes the control instance give an instance no usable replies.
func (c *fakeControl) ignore(instance netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ignored = map[string]bool{instance.String(): true}
}

// commit commits the next version of the routes.
func (c *fakeControl) commit(content string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.editions = append(c.editions, content)
}

// setCatchingUp sets whether the control instance lags behind.
func (c *fakeControl) setCatchingUp(catchingUp bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catchingUp = catchingUp
}

// setKeepsRecords makes the control instance tell callers that records are kept, also before it has any.
func (c *fakeControl) setKeepsRecords() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepsRecords = true
}

func (c *fakeControl) Origin(args courier.OriginArgs) courier.OriginReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	origin, known := c.origins[args.Stream]
	return courier.OriginReply{Known: known, Origin: origin}
}

// CopyOrigins does nothing: the fake has no other control instances.
func (c *fakeControl) CopyOrigins(courier.OriginCopyArgs) courier.OriginCopyReply {
	return courier.OriginCopyReply{}
}

// syncCount returns the number of syncs received.
func (c *fakeControl) syncCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.syncs)
}

// knownStreams returns the number of streams whose origin was reported.
func (c *fakeControl) knownStreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.origins)
}

func (c *fakeControl) Note(_ context.Context, args courier.NoteArgs) courier.NoteReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported = c.reported.With(args.Update)
	return courier.NoteReply{Recorded: true}
}

func (c *fakeControl) Gather(context.Context, courier.GatherArgs) courier.GatherReply {
	return courier.GatherReply{}
}

func (c *fakeControl) Want(_ context.Context, args courier.WantArgs) courier.WantReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadCalls++
	c.loadWait = max(c.loadWait, args.Remaining)
	if reply, found := c.loads[c.loadCalls]; found {
		return reply
	}
	return courier.WantReply{Reason: "none", Unavailable: c.unavailable}
}

// setLoads sets the replies to load calls by their number.
func (c *fakeControl) setLoads(loads map[int]courier.WantReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads = loads
}

// setUnavailable makes the control instance state that no engine can hold what is requested.
func (c *fakeControl) setUnavailable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailable = true
}

// reportedLimits returns the limits in the latest sync.
func (c *fakeControl) reportedLimits() []courier.LimitedUpstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.syncs[len(c.syncs)-1].Limited
}

// statedLoadWait returns the longest wait that a load call has stated.
func (c *fakeControl) statedLoadWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadWait
}

// loadCallCount returns the number of load calls received.
func (c *fakeControl) loadCallCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadCalls
}

// setEntryCount sets the number of entry instances, including the caller.
func (c *fakeControl) setEntryCount(instances int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range instances - 1 {
		c.otherEntries = append(c.otherEntries, fmt.Sprintf("127.0.0.1:%d", 10+i))
	}
}

// addExactEntries adds to the list of all entry instances.
func (c *fakeControl) addExactEntries(addresses ...netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		c.exactEntries = append(c.exactEntries, address.String())
	}
}

// setExactEntries replaces the list of all entry instances.
func (c *fakeControl) setExactEntries(addresses ...netip.AddrPort) {
	c.mu.Lock()
	c.exactEntries = nil
	c.mu.Unlock()
	c.addExactEntries(addresses...)
}

// announceLeave announces that an upstream is leaving.
func (c *fakeControl) announceLeave(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roster.Leave(time.Now(), upstreamapi.Leave{Name: name, Incarnation: 1})
}

func (c *fakeControl) announce(name, address string, models ...string) {
	c.announceVersion("", name, address, models...)
}

// announceVersion announces an upstream of a software version.
func (c *fakeControl) announceVersion(version, name, address string, models ...string) {
	c.announceService("desk", version, name, address, models...)
}

// announceService announces an upstream of a service and a software version.
func (c *fakeControl) announceService(service, version, name, address string, models ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions = c.versions.With(resumption.RecordsUpdate{Added: []resumption.ServiceVersion{{Service: service, Version: version}}})
	var resident []upstreamapi.Resident
	for _, model := range models {
		resident = append(resident, upstreamapi.Resident{Model: model})
	}
	Expect(c.roster.Announce(time.Now(), upstreamapi.Announcement{
		Name: name, Incarnation: 1, Sequence: 1, Address: address, Services: []string{service}, SoftwareVersion: version,
		Load: upstreamapi.Load{MaxRunning: 8}, Resident: resident,
	})).To(Succeed())
}

// announceRestart announces that a process has restarted under the name of an upstream.
func (c *fakeControl) announceRestart(name, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	Expect(c.roster.Announce(time.Now(), upstreamapi.Announcement{
		Name: name, Incarnation: 2, Sequence: 1, Address: address, Services: []string{"desk"},
		Load: upstreamapi.Load{MaxRunning: 8},
	})).To(Succeed())
}
