package courier

import (
	"context"

	"github.com/lovagelift/lovagelift/internal/roster"
)

// RosterService serves other instances' pulls of the roster.
type RosterService struct {
	changesSince func(roster.Cursor, *roster.InstanceRecord) roster.Changes
}

// NewRosterService returns a service that replies with the result of changesSince, which is called
// concurrently.
func NewRosterService(changesSince func(roster.Cursor, *roster.InstanceRecord) roster.Changes) *RosterService {
	return &RosterService{changesSince: changesSince}
}

// PullArgs requests the changes of the callee's roster.
type PullArgs struct {
	Cursor roster.Cursor
	// From is the caller's own record, or nil if the callee knows it.
	From *roster.InstanceRecord
}

// PullReply is the reply to PullArgs.
type PullReply struct {
	Changes roster.Changes
}

// Pull is the net/rpc method "Roster.Pull".
func (s *RosterService) Pull(args PullArgs, reply *PullReply) error {
	reply.Changes = s.changesSince(args.Cursor, args.From)
	return nil
}

// PullRoster requests the changes of the roster of the instance at address. from is the caller's
// own record, or nil if the callee knows it.
func (p *Pool) PullRoster(
	ctx context.Context, address string, cursor roster.Cursor, from *roster.InstanceRecord,
) (roster.Changes, error) {
	var reply PullReply
	if err := p.Call(ctx, address, "Roster.Pull", PullArgs{Cursor: cursor, From: from}, &reply); err != nil {
		return roster.Changes{}, err
	}
	return reply.Changes, nil
}
