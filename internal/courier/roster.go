package courier

import (
	"context"

	"github.com/lovagelift/lovagelift/internal/roster"
)

// RosterService answers other instances' pulls of the roster.
type RosterService struct {
	changes func(roster.Cursor, *roster.InstanceRecord) roster.Changes
}

// NewRosterService returns a service that answers with what changes returns.
// changes is called from many goroutines at once.
func NewRosterService(changes func(roster.Cursor, *roster.InstanceRecord) roster.Changes) *RosterService {
	return &RosterService{changes: changes}
}

// PullArgs asks for what has changed in the callee's roster.
type PullArgs struct {
	Cursor roster.Cursor
	// From is the asker's own record, if the callee may not know it.
	From *roster.InstanceRecord
}

// PullReply answers PullArgs.
type PullReply struct {
	Changes roster.Changes
}

// Pull is the net/rpc method "Roster.Pull".
func (s *RosterService) Pull(args PullArgs, reply *PullReply) error {
	reply.Changes = s.changes(args.Cursor, args.From)
	return nil
}

// PullRoster asks the instance at address for what has changed in its roster.
// from is the asker's own record, or nil if the callee knows it.
func (p *Pool) PullRoster(
	ctx context.Context, address string, cursor roster.Cursor, from *roster.InstanceRecord,
) (roster.Changes, error) {
	var reply PullReply
	if err := p.Call(ctx, address, "Roster.Pull", PullArgs{Cursor: cursor, From: from}, &reply); err != nil {
		return roster.Changes{}, err
	}
	return reply.Changes, nil
}
