package courier

import (
	"context"
	"time"

	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/roster"
)

// SyncArgs is what an entry instance tells a control instance, and asks of it,
// several times a second. One call carries all, since each call costs both sides
// the same processor time whatever is in it.
type SyncArgs struct {
	// From is the asker's own record as of now.
	From roster.InstanceRecord
	// FailureDomain is the asker's.
	FailureDomain string
	// Cursor says how far the asker has pulled the roster.
	Cursor roster.Cursor
	// Edition is the version of the routes that the asker holds.
	Edition uint64
	// Members is the revision of the members that the asker has.
	Members uint64
	// Holdings is the revision of the holdings that the asker has, under Leader.
	Holdings uint64
	// Quarantine is the mark of the news of requests in quarantine that the asker has.
	Quarantine uint64
	// Demand is what callers asked for since the last call that was answered.
	Demand []Demand
	// Limited are the upstreams that name a limit.
	Limited []LimitedUpstream
}

// LimitedUpstream is an upstream that names a limit in its answers.
type LimitedUpstream struct {
	Name  string
	Limit ratelimit.Limit
}

// Demand is how much was asked for of one model, or of an adapter of it.
type Demand struct {
	Service string
	Model   string
	// Adapter is empty for the model itself.
	Adapter string
	// Requests were taken in, of which Waiting wait for an engine now.
	Requests int
	Waiting  int
	// Open is how many requests with the adapter are under way now.
	Open int
	// Reading is how long an engine reads the prompts of Requests, and Answering how
	// long their answers take places in its batch.
	Reading   time.Duration
	Answering time.Duration
}

// SyncReply answers SyncArgs.
type SyncReply struct {
	// Leader is the inner address of the instance that gives orders to engines,
	// empty if none is known.
	Leader string
	// Members is nil if the asker has them. The list of 291 entry instances takes 5 KB, and
	// each of them asks several times a second.
	Members *Members
	// Edition is nil if the asker holds the newest that the answerer knows. Its content
	// is packed (registry.Pack).
	Edition *edition.Edition
	// Reading says how new the answerer's routes are known to be. It is made before Edition.
	Reading edition.Reading
	Changes roster.Changes
	// Quarantine is nil if the asker has these news.
	Quarantine *quarantine.News
	// Holdings is the encoding of Holdings, empty unless it differs from what the asker
	// has. It was made HoldingsAge ago, once for all askers: what 140 engines hold takes
	// 50 us to encode (BenchmarkHoldings), and 86 askers are answered 344 times a second,
	// which is a seventh of what the users give a leader.
	Holdings    []byte
	HoldingsAge time.Duration
}

// Members is who is alive, by inner addresses.
type Members struct {
	// Revision is a hash of the rest: what two control instances know is the same if it is.
	Revision uint64
	// Entries are the entry instances.
	Entries []string
	// Controls are the control instances, and Near those in the asker's failure domain.
	Controls []string
	Near     []string
}

// GatherArgs is what a control instance tells the one that gives orders, and asks of it.
type GatherArgs struct {
	// Told is what entry instances told since the last call, by entry instance.
	Told map[string][]Demand
	// Limited are the upstreams that name a limit.
	Limited []LimitedUpstream
	// Holdings is the revision of the holdings that the asker has.
	Holdings uint64
}

// GatherReply answers GatherArgs.
type GatherReply struct {
	// Holdings and Age are those of SyncReply. Revision is that of Holdings, 0 if there are
	// none.
	Holdings []byte
	Revision uint64
	Age      time.Duration
}

// WantArgs asks for a model, or for an adapter beside it.
type WantArgs struct {
	Service string
	Model   string
	// Adapter is empty for the model itself.
	Adapter string
	// Timeout is how long the callee may take. The asker waits for longer, since it
	// closes the connection of a call that it gives up.
	Timeout time.Duration
}

// WantReply answers WantArgs.
type WantReply struct {
	// Engine holds it now. It is empty if none does and none can now.
	Engine string
	// Reason says why, if Engine is empty.
	Reason string
	// NotLeader says that the instance that was asked gives no orders.
	NotLeader bool
}

// NoteArgs tells of upstreams that ended under requests.
type NoteArgs struct {
	Update quarantine.Update
}

// NoteReply answers NoteArgs.
type NoteReply struct {
	// Recorded says that the voters have it. If it is false, they may or may not.
	Recorded bool
}

// Feed is what a control instance answers to entry instances, and the one that gives
// orders to the other control instances. Its methods are called from many goroutines at
// once.
type Feed interface {
	Gather(ctx context.Context, args GatherArgs) GatherReply
	Sync(ctx context.Context, args SyncArgs) SyncReply
	Want(ctx context.Context, args WantArgs) WantReply
	Note(ctx context.Context, args NoteArgs) NoteReply
}

// FeedService answers the calls of entry instances.
type FeedService struct {
	feed Feed
}

// NewFeedService returns the net/rpc receiver "Feed".
func NewFeedService(feed Feed) *FeedService {
	return &FeedService{feed: feed}
}

// Sync is the net/rpc method "Feed.Sync".
func (s *FeedService) Sync(args SyncArgs, reply *SyncReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serviceTimeout)
	defer cancel()
	*reply = s.feed.Sync(ctx, args)
	return nil
}

// Gather is the net/rpc method "Feed.Gather".
func (s *FeedService) Gather(args GatherArgs, reply *GatherReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serviceTimeout)
	defer cancel()
	*reply = s.feed.Gather(ctx, args)
	return nil
}

// Want is the net/rpc method "Feed.Want".
func (s *FeedService) Want(args WantArgs, reply *WantReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Timeout, serviceTimeout))
	defer cancel()
	*reply = s.feed.Want(ctx, args)
	return nil
}

// Note is the net/rpc method "Feed.Note".
func (s *FeedService) Note(args NoteArgs, reply *NoteReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serviceTimeout)
	defer cancel()
	*reply = s.feed.Note(ctx, args)
	return nil
}

// Note tells the control instance at address of upstreams that ended under requests.
func (p *Pool) Note(ctx context.Context, address string, args NoteArgs) (NoteReply, error) {
	return answerOf[NoteReply](ctx, p, address, "Feed.Note", args)
}

// Sync tells the control instance at address of this one and asks for news.
func (p *Pool) Sync(ctx context.Context, address string, args SyncArgs) (SyncReply, error) {
	return answerOf[SyncReply](ctx, p, address, "Feed.Sync", args)
}

// Want asks the control instance at address for a model or an adapter.
func (p *Pool) Want(ctx context.Context, address string, args WantArgs) (WantReply, error) {
	return answerOf[WantReply](ctx, p, address, "Feed.Want", args)
}

// Gather tells the control instance at address, which gives orders, what entry instances
// told this one, and asks what engines hold.
func (p *Pool) Gather(ctx context.Context, address string, args GatherArgs) (GatherReply, error) {
	return answerOf[GatherReply](ctx, p, address, "Feed.Gather", args)
}
