package chamber

import (
	"context"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// Quarantine returns the requests in quarantine according to this replica.
func (v *Voter) Quarantine(now time.Time) quarantine.News {
	v.quarantineMutex.Lock()
	defer v.quarantineMutex.Unlock()
	news := v.quarantinePublisher.News(now, v.registry.CrashRecords())
	for _, change := range v.quarantinePublisher.Changes() {
		v.logQuarantineChange(change)
	}
	return news
}

// logQuarantineChange logs that a request or parts of prompts entered the quarantine, with the
// crashes that caused it, or left the quarantine.
func (v *Voter) logQuarantineChange(change quarantine.Change) {
	if len(change.Crashes) == 0 {
		v.options.Log.Info().Stringer(quarantine.FieldDigest, change.Digest).Msg(quarantine.LogLeft)
		return
	}
	event, message := v.options.Log.Warn(), quarantine.LogEntered
	if change.Part {
		parts := slices.Concat([]quarantine.Digest{change.Digest}, change.Also)
		event, message = event.Strs(quarantine.FieldParts, quarantine.ShortDigests(parts)), quarantine.LogPartEntered
	}
	upstreams := make([]string, 0, len(change.Crashes))
	requests := make([]string, 0, len(change.Crashes))
	for _, crash := range change.Crashes {
		upstreams = append(upstreams, crash.Upstream)
		requests = append(requests, crash.Request)
	}
	event.Stringer(quarantine.FieldDigest, change.Digest).Strs("upstreams", upstreams).Strs("requests", requests).Msg(message)
}

// Quarantined lists the requests in quarantine and those under suspicion.
func (v *Voter) Quarantined(now time.Time) ([]quarantine.Listing, error) {
	return v.registry.CrashRecords().List(now, v.options.Quarantine), nil
}

// Lift lifts the quarantine of requests. After an error, the quarantine may still be in place.
func (v *Voter) Lift(ctx context.Context, digests []quarantine.Digest) error {
	_, err := v.Propose(ctx, quarantine.Update{Now: v.options.Now(), Lifted: digests})
	return err
}

// RetractFalseCrashes retracts the recorded crashes of upstreams that were in contact afterwards.
// It does so only if this voter is the leader. lastContact returns the time of the last contact of
// the process of an upstream, and false if there was none. RetractFalseCrashes must be called from
// a single goroutine, about twice a second.
func (v *Voter) RetractFalseCrashes(ctx context.Context, lastContact func(quarantine.Lifetime) (time.Time, bool)) {
	now := v.options.Now()
	alive := v.falseCrashDetector.Alive(now, v.registry.CrashRecords(), lastContact)
	if _, leads := v.IsLeader(now); !leads || len(alive) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err := v.Propose(ctx, quarantine.Update{Now: now, Alive: alive})
	v.options.Log.Info().Err(err).Int("upstreams", len(alive)).Str("first", alive[0].Upstream).
		Msg("upstreams that were reported as ended are still alive")
}

// Crashes returns the recorded crashes of upstreams, with the requests that were running there.
func (v *Voter) Crashes() quarantine.Records {
	return v.registry.CrashRecords()
}
