package backoffice

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/departure"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// leaveTimeout bounds the recording of a leave. Upstreams wait a second for the acknowledgement and
// then ask another instance.
const leaveTimeout = 800 * time.Millisecond

// ErrLeaveNotRecorded is returned if the voters have not recorded a leave in time. They may still
// record it.
var ErrLeaveNotRecorded = errors.New("backoffice: the leave is not recorded")

// Leave records that an upstream is leaving, at its own request. Once Leave has returned nil, the
// leave is known after the loss of power of all instances: an upstream may announce its leave once
// and say nothing more. Incarnation 0 matches any incarnation.
func (i *Instance) Leave(ctx context.Context, leave upstreamapi.Leave) error {
	now := i.options.Now()
	i.noteLeave(now, leave)
	if i.voter.Departures().Covers(now, leave) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if !i.leaveRecorder.record(ctx, leave) {
		return ErrLeaveNotRecorded
	}
	return nil
}

// noteLeave notes in the roster that an upstream is leaving. It also spreads the leave of an upstream
// that this instance does not know yet: another control instance may know it
// already, and the upstream would still receive work after its leave was acknowledged.
// Incarnation 0 matches any incarnation.
func (i *Instance) noteLeave(now time.Time, leave upstreamapi.Leave) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.noteLeaveLocked(now, leave)
}

// noteLeaveLocked is noteLeave for callers that hold i.mu.
func (i *Instance) noteLeaveLocked(now time.Time, leave upstreamapi.Leave) {
	placeholder := upstreamapi.Announcement{Name: leave.Name, Incarnation: leave.Incarnation}
	if leave.Incarnation == 0 {
		// An upstream that restarts after a crash has sent no leave, so this does not hide
		// a restarted upstream.
		placeholder.Incarnation = departure.AnyIncarnation
	}
	known, found := i.roster.Upstream(leave.Name)
	if !found || known.Announcement.Incarnation < placeholder.Incarnation {
		if err := i.roster.Announce(now, placeholder); err != nil && !errors.Is(err, roster.ErrNameTaken) {
			i.options.Log.Warn().Err(err).Str("upstream", leave.Name).Msg("announcement of an unknown leaving upstream rejected")
		}
	}
	i.roster.Leave(now, leave)
}

// adoptDepartures notes the departures that were recorded since the last call. After a loss of power,
// the roster knows of them from here only. i.mu is held.
func (i *Instance) adoptDepartures(now time.Time) {
	recorded := i.voter.Departures()
	for _, leave := range recorded.Since(now, i.adoptedDepartures) {
		known, found := i.roster.Upstream(leave.Name)
		if found && known.Leaving && known.Announcement.Incarnation >= leave.Incarnation {
			continue
		}
		i.noteLeaveLocked(now, leave)
	}
	i.adoptedDepartures = recorded.Revision()
}

// leaveRecorder records the leaves of upstreams in the replicated log. Those that arrive while others
// are being recorded share one command.
type leaveRecorder struct {
	instance *Instance
	batch    proposalBatch[departure.Update]
}

func newLeaveRecorder(i *Instance) *leaveRecorder {
	return &leaveRecorder{instance: i, batch: newProposalBatch(departure.Update.Joined)}
}

// record waits until the voters have recorded a leave, and reports whether they have.
func (l *leaveRecorder) record(ctx context.Context, leave upstreamapi.Leave) bool {
	return l.batch.record(ctx, departure.Update{Leaves: []upstreamapi.Leave{leave}})
}

func (l *leaveRecorder) run(ctx context.Context) {
	for l.batch.awaitUpdates(ctx) {
		l.batch.flush(func(update departure.Update) bool { return l.propose(ctx, update) })
	}
}

func (l *leaveRecorder) propose(ctx context.Context, update departure.Update) bool {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	update.Now = l.instance.options.Now()
	err := l.instance.voter.RecordDepartures(ctx, update)
	if err != nil {
		l.instance.options.Log.Warn().Err(err).Int("upstreams", len(update.Leaves)).Msg("leaves not recorded")
	}
	return err == nil
}
