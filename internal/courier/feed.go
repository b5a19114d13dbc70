package courier

import (
	"context"
	"time"

	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/roster"
)

// SyncArgs is the report and request that an entry instance sends to a control instance several
// times a second. One call carries everything, because the processor time of a call is nearly
// independent of its content on both sides.
type SyncArgs struct {
	// From is the caller's own record as of now.
	From roster.InstanceRecord
	// FailureDomain is that of the caller.
	FailureDomain string
	// Cursor is the position up to which the caller has pulled the roster.
	Cursor roster.Cursor
	// Edition is the version of the caller's routes.
	Edition uint64
	// Members is the revision of the caller's member list.
	Members uint64
	// Holdings is the revision of the caller's EngineStates, as numbered by the leader.
	Holdings uint64
	// Quarantine is the mark of the caller's quarantine state.
	Quarantine uint64
	// Demand is the demand since the last call that received a reply.
	Demand []Demand
	// Limited are the upstreams that state a rate limit.
	Limited []LimitedUpstream
	// Versions is the revision of the caller's list of recorded software versions.
	Versions uint64
	// Streams are the streams that may be resumed and began since the last call that received a reply.
	Streams []StreamGroup
}

// OriginArgs requests the origin of a stream.
type OriginArgs struct {
	Stream resumption.StreamID
}

// OriginReply is the reply to OriginArgs. Origin is used only if Known is set.
type OriginReply struct {
	Known  bool
	Origin resumption.Origin
	// KeptFor is how long the callee has kept origins. It is set only if Known is not.
	KeptFor time.Duration
}

// OriginCopyArgs holds origins that entry instances reported to the caller, which the callee copies.
type OriginCopyArgs struct {
	// From is the address of the caller.
	From string
	// Known is the process of the callee that has all earlier origins of the caller, 0 if none has.
	Known   uint64
	Streams []StreamGroup
}

// OriginCopyReply is the reply to OriginCopyArgs.
type OriginCopyReply struct {
	// Process identifies the process of the callee.
	Process uint64
	// Streams are the origins that the callee has copied before. They are set only if the caller does not
	// know the process.
	Streams []StreamGroup
}

// LimitedUpstream is an upstream that states a rate limit in its responses.
type LimitedUpstream struct {
	Name  string
	Limit ratelimit.Limit
}

// Demand is the demand for one model or for one adapter of it.
type Demand struct {
	Service string
	Model   string
	// Adapter is empty for the model itself.
	Adapter string
	// Software is bound for requests that resume streams. Other requests have a Demand of their own,
	// without it.
	Software resumption.Constraint
	// Requests is the number of requests received, and Waiting the number that are waiting for an
	// engine now.
	Requests int
	Waiting  int
	// Open is the number of requests with the adapter that are in progress now.
	Open int
	// Reading is the time that an engine needs to process the prompts of Requests. Answering is the
	// time for which their responses occupy slots of its batch.
	Reading   time.Duration
	Answering time.Duration
	// RunTime is the mean time for which an engine has a request for Model, whatever the adapter. It is
	// 0 unless the sender places the requests for the model and has measured it.
	RunTime time.Duration
}

// SyncReply is the reply to SyncArgs.
type SyncReply struct {
	// Leader is the inner address of the instance that sends commands to the engines. It is empty
	// if none is known.
	Leader string
	// Members is nil if the caller already has this list. The list of 291 entry instances takes 5
	// KB, and each of them calls several times a second.
	Members *Members
	// Edition is nil if the caller has the newest routes that the callee knows. Its content is
	// packed (registry.Compress).
	Edition *edition.Edition
	// Reading states how recent the callee's routes are known to be. It is determined before
	// Edition.
	Reading edition.Reading
	// Changes are empty if Roster is set.
	Changes roster.Changes
	// Roster is the packed whole roster (PackChanges), for a caller that has none of it. It was packed
	// RosterAge ago, once for all callers.
	Roster    []byte
	RosterAge time.Duration
	// RosterIncomplete is true while the callee may lack upstreams and instances that others know.
	RosterIncomplete bool
	// Quarantine is nil if the caller already has this state.
	Quarantine *quarantine.News
	// Versions are the recorded software versions, as recent as Reading states. It is nil if the caller
	// has this list, or a newer one, or if the callee keeps no records.
	Versions *resumption.VersionList
	// Holdings is an encoded EngineStates. It is empty if the caller already has this revision. It
	// was encoded HoldingsAge ago, once for all callers: the states of 140 engines take 50 us to
	// encode, and 86 callers get 344 replies a second. Encoding them for each reply would take a
	// seventh of the processor time that a leader may use.
	Holdings    []byte
	HoldingsAge time.Duration
}

// Members lists the live instances by their inner addresses.
type Members struct {
	// Revision is a hash of the other fields, so that equal lists of two control instances have the
	// same revision.
	Revision uint64
	// Entries are the entry instances.
	Entries []string
	// Open are the caller addresses of the entry instances that accept requests, by failure
	// domain.
	Open map[string][]string
	// Controls are the control instances, and Near those in the caller's failure domain.
	Controls []string
	Near     []string
}

// GatherArgs is the report and request that a control instance sends to the leader, which sends
// commands to the engines.
type GatherArgs struct {
	// Told is the demand that entry instances reported since the last call, by entry instance.
	Told map[string][]Demand
	// Limited are the upstreams that state a rate limit.
	Limited []LimitedUpstream
	// Holdings is the revision of the caller's EngineStates.
	Holdings uint64
}

// GatherReply is the reply to GatherArgs.
type GatherReply struct {
	// Holdings and Age are as in SyncReply. Revision is that of EngineStates, or 0 if there are none.
	Holdings []byte
	Revision uint64
	Age      time.Duration
}

// WantArgs requests that a model be loaded on an engine, or an adapter together with its model.
type WantArgs struct {
	Service string
	Model   string
	// Adapter is empty for the model itself.
	Adapter string
	// Software limits the engines, if the request resumes a stream.
	Software resumption.Constraint
	// Timeout limits the time until the callee replies. The caller waits longer, because it closes
	// the connection of a call that times out.
	Timeout time.Duration
	// Remaining is the longest time for which a request waits for the load, which may take several calls. It
	// is 0 if it is not known.
	Remaining time.Duration
}

// WantReply is the reply to WantArgs.
type WantReply struct {
	// Engine is the engine that holds the model now. It is empty if there is none and none can load
	// it now.
	Engine string
	// Reason explains why Engine is empty.
	Reason string
	// NotLeader is true if the callee does not send commands to engines.
	NotLeader bool
	// Unavailable is true if no engine that Software allows can hold the model in time, so that waiting
	// for it is in vain. Callees of the version before don't set it.
	Unavailable bool
}

// NoteArgs holds an update of the request quarantine, such as the crash of an upstream while it
// processed requests.
type NoteArgs struct {
	Update quarantine.Update
}

// NoteReply is the reply to NoteArgs.
type NoteReply struct {
	// Recorded is true if the voters have recorded the update. If it is false, they may or may not
	// have.
	Recorded bool
}

// Feed is the interface of a control instance to entry instances, and of the leader to the other
// control instances. Its methods are called concurrently.
type Feed interface {
	Gather(ctx context.Context, args GatherArgs) GatherReply
	Sync(ctx context.Context, args SyncArgs) SyncReply
	Want(ctx context.Context, args WantArgs) WantReply
	Note(ctx context.Context, args NoteArgs) NoteReply
	Origin(args OriginArgs) OriginReply
	CopyOrigins(args OriginCopyArgs) OriginCopyReply
}

// FeedService serves the calls of entry instances and of other control instances.
type FeedService struct {
	feed Feed
}

// NewFeedService returns the net/rpc receiver "Feed".
func NewFeedService(feed Feed) *FeedService {
	return &FeedService{feed: feed}
}

// Sync is the net/rpc method "Feed.Sync".
func (s *FeedService) Sync(args SyncArgs, reply *SyncReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), handlerTimeout)
	defer cancel()
	*reply = s.feed.Sync(ctx, args)
	return nil
}

// Gather is the net/rpc method "Feed.Gather".
func (s *FeedService) Gather(args GatherArgs, reply *GatherReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), handlerTimeout)
	defer cancel()
	*reply = s.feed.Gather(ctx, args)
	return nil
}

// Want is the net/rpc method "Feed.Want".
func (s *FeedService) Want(args WantArgs, reply *WantReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Timeout, handlerTimeout))
	defer cancel()
	*reply = s.feed.Want(ctx, args)
	return nil
}

// Note is the net/rpc method "Feed.Note".
func (s *FeedService) Note(args NoteArgs, reply *NoteReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), handlerTimeout)
	defer cancel()
	*reply = s.feed.Note(ctx, args)
	return nil
}

// Origin is the net/rpc method "Feed.Origin".
func (s *FeedService) Origin(args OriginArgs, reply *OriginReply) error {
	*reply = s.feed.Origin(args)
	return nil
}

// CopyOrigins is the net/rpc method "Feed.CopyOrigins".
func (s *FeedService) CopyOrigins(args OriginCopyArgs, reply *OriginCopyReply) error {
	*reply = s.feed.CopyOrigins(args)
	return nil
}

// CopyOrigins copies the origins of streams to the control instance at address.
func (p *Pool) CopyOrigins(ctx context.Context, address string, args OriginCopyArgs) (OriginCopyReply, error) {
	return callForReply[OriginCopyReply](ctx, p, address, "Feed.CopyOrigins", args)
}

// StreamOrigin requests the origin of a stream from the control instance at address.
func (p *Pool) StreamOrigin(ctx context.Context, address string, args OriginArgs) (OriginReply, error) {
	return callForReply[OriginReply](ctx, p, address, "Feed.Origin", args)
}

// UpdateQuarantine reports an update of the request quarantine to the control instance at address.
func (p *Pool) UpdateQuarantine(ctx context.Context, address string, args NoteArgs) (NoteReply, error) {
	return callForReply[NoteReply](ctx, p, address, "Feed.Note", args)
}

// Sync reports the state of this instance to the control instance at address and requests updates.
func (p *Pool) Sync(ctx context.Context, address string, args SyncArgs) (SyncReply, error) {
	return callForReply[SyncReply](ctx, p, address, "Feed.Sync", args)
}

// RequestModel requests a model or an adapter from the control instance at address.
func (p *Pool) RequestModel(ctx context.Context, address string, args WantArgs) (WantReply, error) {
	return callForReply[WantReply](ctx, p, address, "Feed.Want", args)
}

// ReportDemand reports the demand of entry instances to the leader at address and requests the
// EngineStates.
func (p *Pool) ReportDemand(ctx context.Context, address string, args GatherArgs) (GatherReply, error) {
	return callForReply[GatherReply](ctx, p, address, "Feed.Gather", args)
}
