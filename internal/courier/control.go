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

// gob needs the implementations of jury.Body to be registered before the first message.
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
	gob.Register(jury.RestartProbe{})
	gob.Register(jury.RestartAnswer{})
}

// Control is the interface of a voter to other instances. Its methods are called concurrently.
type Control interface {
	// Deliver handles a message of another replica.
	Deliver(message jury.Message)
	// ProposeLocally executes command if this voter is the leader.
	ProposeLocally(ctx context.Context, command []byte) Proposed
	// Propose executes command, forwarding it to the leader if necessary.
	Propose(ctx context.Context, command []byte) Proposed
	// Configuration returns the configuration in force if it is newer than have, and the state of
	// the request quarantine unless its mark equals quarantineMark.
	Configuration(have registry.Revision, quarantineMark uint64) Configuration
	// Lookup returns the record of a request. The record is at least as recent as the call.
	Lookup(ctx context.Context, key docket.Key) Recorded
	// ChangeVoters adds or removes an identity if this voter is the leader.
	ChangeVoters(ctx context.Context, change VotersChange) Proposed
	// BootstrapState returns the state of this voter that a bootstrap needs.
	BootstrapState() Founding
	// Bootstrap makes this blank voter a member of a new cluster.
	Bootstrap(ctx context.Context, charter Charter) error
}

// ProposalOutcome is the outcome of a proposed command.
type ProposalOutcome uint8

// Outcomes of a proposed command. With the zero value, the command may or may not have been
// executed.
const (
	ProposalUnknown ProposalOutcome = iota
	ProposalExecuted
	ProposalRejected
)

// Proposed is the reply to a proposal.
type Proposed struct {
	Fate   ProposalOutcome
	Result []byte
	// Leader is the replica to ask instead if Fate is ProposalRejected. It may be empty.
	Leader jury.Identity
	// Passing is true if the rejection is temporary: the next leader may accept the command.
	Passing bool
	Reason  string
}

// Configuration is the configuration in force, as a voter knows it.
type Configuration struct {
	Cluster string
	// View is nil if it is not newer than the caller's revision.
	View *registry.View
	// Confirmed is true if Age is known.
	Confirmed bool
	// Age is the age of the configuration: at this time before the reply, the voter had everything
	// that was committed in the cluster.
	Age time.Duration
	// Quarantine is nil if the caller already has this state.
	Quarantine *quarantine.News
}

// Recorded is the reply to a lookup.
type Recorded struct {
	// Known is false if the voter could not confirm that it is up to date.
	Known  bool
	Answer docket.Answer
}

// Founding is the state of a voter that a bootstrap needs.
type Founding struct {
	Identity jury.Identity
	// Cluster is empty if the voter is blank.
	Cluster string
	// Charter is the charter that the voter holds, if nothing was committed after it.
	Charter Charter
}

// VotersChange adds or removes one identity.
type VotersChange struct {
	Add    jury.Identity
	Remove jury.Identity
}

// Charter is the initial state of a cluster.
type Charter struct {
	Cluster string
	Voters  []jury.Identity
	Data    []byte
	// Index and Term are the position in the log at which Data was taken, see jury.Bootstrap.
	Index jury.Index
	Term  jury.Term
}

// handlerTimeout limits the callee's work for one call. After this time the caller has given up.
const handlerTimeout = 10 * time.Second

// ControlService serves the calls of other instances to a voter.
type ControlService struct {
	control Control
}

// NewControlService returns the net/rpc receiver "Control".
func NewControlService(control Control) *ControlService {
	return &ControlService{control: control}
}

// DeliverArgs holds a message between replicas.
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

// ProposeArgs holds a command.
type ProposeArgs struct {
	Command []byte
	// Timeout is how long the caller waits.
	Timeout time.Duration
	// Here is true if the voter must not forward the command.
	Here bool
}

// Propose is the net/rpc method "Control.Propose".
func (s *ControlService) Propose(args ProposeArgs, reply *Proposed) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Timeout, handlerTimeout))
	defer cancel()
	if args.Here {
		*reply = s.control.ProposeLocally(ctx, args.Command)
		return nil
	}
	*reply = s.control.Propose(ctx, args.Command)
	return nil
}

// ConfigurationArgs requests the configuration in force.
type ConfigurationArgs struct {
	Have registry.Revision
	// Quarantine is the mark of the quarantine state that the caller has.
	Quarantine uint64
}

// Configuration is the net/rpc method "Control.Configuration".
func (s *ControlService) Configuration(args ConfigurationArgs, reply *Configuration) error {
	*reply = s.control.Configuration(args.Have, args.Quarantine)
	return nil
}

// LookupArgs requests the record of a request.
type LookupArgs struct {
	Key     docket.Key
	Timeout time.Duration
}

// Lookup is the net/rpc method "Control.Lookup".
func (s *ControlService) Lookup(args LookupArgs, reply *Recorded) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Timeout, handlerTimeout))
	defer cancel()
	*reply = s.control.Lookup(ctx, args.Key)
	return nil
}

// ChangeVotersArgs holds a change of voters.
type ChangeVotersArgs struct {
	Change  VotersChange
	Timeout time.Duration
}

// ChangeVoters is the net/rpc method "Control.ChangeVoters".
func (s *ControlService) ChangeVoters(args ChangeVotersArgs, reply *Proposed) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Timeout, handlerTimeout))
	defer cancel()
	*reply = s.control.ChangeVoters(ctx, args.Change)
	return nil
}

// Founding is the net/rpc method "Control.Founding".
func (s *ControlService) Founding(_ Empty, reply *Founding) error {
	*reply = s.control.BootstrapState()
	return nil
}

// Bootstrap is the net/rpc method "Control.Bootstrap".
func (s *ControlService) Bootstrap(charter Charter, _ *Empty) error {
	ctx, cancel := context.WithTimeout(context.Background(), handlerTimeout)
	defer cancel()
	return s.control.Bootstrap(ctx, charter)
}

// Deliver sends a message to the replica at address. The message may be lost.
func (p *Pool) Deliver(ctx context.Context, address string, message jury.Message) error {
	return p.Call(ctx, address, "Control.Deliver", DeliverArgs{Message: message}, &Empty{})
}

// Propose asks the voter at address to execute command. If here is true, the voter executes it only
// as the leader and does not forward it. If the command certainly did not reach the voter, the
// outcome is ProposalRejected; if the voter's reply was lost, it is ProposalUnknown.
func (p *Pool) Propose(ctx context.Context, address string, command []byte, here bool) Proposed {
	args := ProposeArgs{Command: command, Timeout: p.remaining(ctx), Here: here}
	return p.propose(ctx, address, "Control.Propose", args)
}

// ChangeVoters asks the voter at address to change the voters if it is the leader. The outcomes are
// those of Propose.
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
		return Proposed{Fate: ProposalRejected, Passing: true, Reason: err.Error()}
	}
	return Proposed{Fate: ProposalUnknown, Reason: err.Error()}
}

// Configuration requests the configuration in force from the voter at address.
func (p *Pool) Configuration(
	ctx context.Context, address string, have registry.Revision, quarantineMark uint64,
) (Configuration, error) {
	return callForReply[Configuration](ctx, p, address, "Control.Configuration", ConfigurationArgs{Have: have, Quarantine: quarantineMark})
}

// Lookup requests the record of a request from the voter at address.
func (p *Pool) Lookup(ctx context.Context, address string, key docket.Key) (Recorded, error) {
	return callForReply[Recorded](ctx, p, address, "Control.Lookup", LookupArgs{Key: key, Timeout: p.remaining(ctx)})
}

// BootstrapState requests the state of the voter at address that a bootstrap needs.
func (p *Pool) BootstrapState(ctx context.Context, address string) (Founding, error) {
	return callForReply[Founding](ctx, p, address, "Control.Founding", Empty{})
}

// Bootstrap makes the blank voter at address a member of a new cluster.
func (p *Pool) Bootstrap(ctx context.Context, address string, charter Charter) error {
	return p.Call(ctx, address, "Control.Bootstrap", charter, &Empty{})
}
