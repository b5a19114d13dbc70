package courier

import (
	"context"
	"encoding/gob"
	"time"

	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// gob must know the kinds of jury.Body before the first message.
func init() {
	gob.Register(jury.VoteRequest{})
	gob.Register(jury.VoteAnswer{})
	gob.Register(jury.Append{})
	gob.Register(jury.AppendAnswer{})
	gob.Register(jury.InstallRequest{})
	gob.Register(jury.Heartbeat{})
	gob.Register(jury.HeartbeatAnswer{})
	gob.Register(jury.TakeOver{})
	gob.Register(jury.Join{})
}

// Control is what a voter answers to other instances. Its methods are called
// from many goroutines at once.
type Control interface {
	// Deliver takes in a message of another replica.
	Deliver(message jury.Message)
	// ProposeHere has command carried out if this voter leads.
	ProposeHere(ctx context.Context, command []byte) Proposed
	// Propose has command carried out by whichever voter leads.
	Propose(ctx context.Context, command []byte) Proposed
	// Configuration returns what is in force, if it is newer than have, and the news of
	// requests in quarantine unless they have the mark.
	Configuration(have registry.Revision, mark uint64) Configuration
	// Lookup returns what is recorded of a request, as of now or later.
	Lookup(ctx context.Context, key docket.Key) Recorded
	// ChangeVoters adds the identity or removes it, if this voter leads.
	ChangeVoters(ctx context.Context, change VotersChange) Proposed
	// Founding returns what a bootstrap must know of this voter.
	Founding() Founding
	// Bootstrap makes this blank voter one of a new cluster.
	Bootstrap(ctx context.Context, charter Charter) error
}

// Fate is what became of a proposed command.
type Fate uint8

// The fates. The zero value promises nothing.
const (
	FateUnknown Fate = iota
	FateCarriedOut
	FateNotAccepted
)

// Proposed answers a proposal.
type Proposed struct {
	Fate   Fate
	Result []byte
	// Leader is the replica to ask instead, if Fate is FateNotAccepted. It may be
	// empty.
	Leader jury.Identity
	// Passing says that whichever replica leads next may accept the command.
	Passing bool
	Reason  string
}

// Configuration is what is in force, as a voter knows it.
type Configuration struct {
	Cluster string
	// View is nil if it is not newer than what the asker has.
	View *registry.View
	// Confirmed says whether Age is known.
	Confirmed bool
	// Age is how long before the answer the voter had all that was committed
	// anywhere.
	Age time.Duration
	// Quarantine is nil if the asker has these news.
	Quarantine *quarantine.News
}

// Recorded answers a lookup.
type Recorded struct {
	// Known is false if the voter could not confirm that it is up to date.
	Known  bool
	Answer docket.Answer
}

// Founding is what a bootstrap must know of a voter.
type Founding struct {
	Identity jury.Identity
	// Cluster is empty if the voter is blank.
	Cluster string
	// Charter is the one that the voter holds, if nothing was committed since.
	Charter Charter
}

// VotersChange adds one identity or removes one.
type VotersChange struct {
	Add    jury.Identity
	Remove jury.Identity
}

// Charter is the first state of a cluster.
type Charter struct {
	Cluster string
	Voters  []jury.Identity
	Data    []byte
	// Index and Term are those that Data was taken at, see jury.Bootstrap.
	Index jury.Index
	Term  jury.Term
}

// serviceTimeout bounds the work for one call on the side that answers it. The
// asker has gone away by then.
const serviceTimeout = 10 * time.Second

// ControlService answers the calls of other instances to a voter.
type ControlService struct {
	control Control
}

// NewControlService returns the net/rpc receiver "Control".
func NewControlService(control Control) *ControlService {
	return &ControlService{control: control}
}

// DeliverArgs carries a message between replicas.
type DeliverArgs struct {
	Message jury.Message
}

// Empty is an empty reply.
type Empty struct{}

// Deliver is the net/rpc method "Control.Deliver".
func (s *ControlService) Deliver(args DeliverArgs, _ *Empty) error {
	s.control.Deliver(args.Message)
	return nil
}

// ProposeArgs carries a command.
type ProposeArgs struct {
	Command []byte
	// Timeout is how long the asker waits.
	Timeout time.Duration
	// Here asks the voter to forward the command to nobody.
	Here bool
}

// Propose is the net/rpc method "Control.Propose".
func (s *ControlService) Propose(args ProposeArgs, reply *Proposed) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Timeout, serviceTimeout))
	defer cancel()
	if args.Here {
		*reply = s.control.ProposeHere(ctx, args.Command)
		return nil
	}
	*reply = s.control.Propose(ctx, args.Command)
	return nil
}

// ConfigurationArgs asks for what is in force.
type ConfigurationArgs struct {
	Have registry.Revision
	// Quarantine is the mark of the news of requests in quarantine that the asker has.
	Quarantine uint64
}

// Configuration is the net/rpc method "Control.Configuration".
func (s *ControlService) Configuration(args ConfigurationArgs, reply *Configuration) error {
	*reply = s.control.Configuration(args.Have, args.Quarantine)
	return nil
}

// LookupArgs asks what is recorded of a request.
type LookupArgs struct {
	Key     docket.Key
	Timeout time.Duration
}

// Lookup is the net/rpc method "Control.Lookup".
func (s *ControlService) Lookup(args LookupArgs, reply *Recorded) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Timeout, serviceTimeout))
	defer cancel()
	*reply = s.control.Lookup(ctx, args.Key)
	return nil
}

// ChangeVotersArgs carries a change of voters.
type ChangeVotersArgs struct {
	Change  VotersChange
	Timeout time.Duration
}

// ChangeVoters is the net/rpc method "Control.ChangeVoters".
func (s *ControlService) ChangeVoters(args ChangeVotersArgs, reply *Proposed) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Timeout, serviceTimeout))
	defer cancel()
	*reply = s.control.ChangeVoters(ctx, args.Change)
	return nil
}

// Founding is the net/rpc method "Control.Founding".
func (s *ControlService) Founding(_ Empty, reply *Founding) error {
	*reply = s.control.Founding()
	return nil
}

// Bootstrap is the net/rpc method "Control.Bootstrap".
func (s *ControlService) Bootstrap(charter Charter, _ *Empty) error {
	ctx, cancel := context.WithTimeout(context.Background(), serviceTimeout)
	defer cancel()
	return s.control.Bootstrap(ctx, charter)
}

// Deliver hands a message to the replica at address. It may be lost.
func (p *Pool) Deliver(ctx context.Context, address string, message jury.Message) error {
	return p.Call(ctx, address, "Control.Deliver", DeliverArgs{Message: message}, &Empty{})
}

// Propose has the voter at address propose command, or only if it leads if here
// is true. If the command certainly did not reach the voter, the answer is
// FateNotAccepted, and if the voter's answer was lost, FateUnknown.
func (p *Pool) Propose(ctx context.Context, address string, command []byte, here bool) Proposed {
	args := ProposeArgs{Command: command, Timeout: p.remaining(ctx), Here: here}
	return p.propose(ctx, address, "Control.Propose", args)
}

// ChangeVoters has the voter at address change the voters, if it leads. Its
// answers are those of Propose.
func (p *Pool) ChangeVoters(ctx context.Context, address string, change VotersChange) Proposed {
	args := ChangeVotersArgs{Change: change, Timeout: p.remaining(ctx)}
	return p.propose(ctx, address, "Control.ChangeVoters", args)
}

func (p *Pool) propose(ctx context.Context, address, method string, args any) Proposed {
	var reply Proposed
	err := p.Call(ctx, address, method, args, &reply)
	if err == nil {
		return reply
	}
	if isNotSent(err) {
		return Proposed{Fate: FateNotAccepted, Passing: true, Reason: err.Error()}
	}
	return Proposed{Fate: FateUnknown, Reason: err.Error()}
}

// Configuration asks the voter at address for what is in force.
func (p *Pool) Configuration(
	ctx context.Context, address string, have registry.Revision, mark uint64,
) (Configuration, error) {
	return answerOf[Configuration](ctx, p, address, "Control.Configuration", ConfigurationArgs{Have: have, Quarantine: mark})
}

// Lookup asks the voter at address what is recorded of a request.
func (p *Pool) Lookup(ctx context.Context, address string, key docket.Key) (Recorded, error) {
	return answerOf[Recorded](ctx, p, address, "Control.Lookup", LookupArgs{Key: key, Timeout: p.remaining(ctx)})
}

// Founding asks the voter at address what a bootstrap must know of it.
func (p *Pool) Founding(ctx context.Context, address string) (Founding, error) {
	return answerOf[Founding](ctx, p, address, "Control.Founding", Empty{})
}

// Bootstrap makes the blank voter at address one of a new cluster.
func (p *Pool) Bootstrap(ctx context.Context, address string, charter Charter) error {
	return p.Call(ctx, address, "Control.Bootstrap", charter, &Empty{})
}
