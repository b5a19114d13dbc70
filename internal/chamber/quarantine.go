package chamber

import (
	"context"
	"time"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// Quarantine returns what this replica knows of requests in quarantine.
func (v *Voter) Quarantine(now time.Time) quarantine.News {
	v.telling.Lock()
	defer v.telling.Unlock()
	news := v.bulletin.News(now, v.registry.Crashes())
	for _, change := range v.bulletin.Changes() {
		v.logQuarantine(change)
	}
	return news
}

// logQuarantine tells why a request is not sent any more, or that it may be again.
func (v *Voter) logQuarantine(change quarantine.Change) {
	if len(change.Crashes) == 0 {
		v.options.Log.Info().Stringer(quarantine.FieldDigest, change.Digest).Msg(quarantine.LineLeft)
		return
	}
	upstreams := make([]string, 0, len(change.Crashes))
	requests := make([]string, 0, len(change.Crashes))
	for _, crash := range change.Crashes {
		upstreams = append(upstreams, crash.Upstream)
		requests = append(requests, crash.Request)
	}
	v.options.Log.Warn().Stringer(quarantine.FieldDigest, change.Digest).Strs("upstreams", upstreams).Strs("requests", requests).
		Msg(quarantine.LineEntered)
}

// Quarantined returns the requests in quarantine, and those that are suspected.
func (v *Voter) Quarantined(now time.Time) ([]quarantine.Listing, error) {
	return v.registry.Crashes().List(now, v.options.Quarantine), nil
}

// Lift clears requests. If it may not have, it returns an error.
func (v *Voter) Lift(ctx context.Context, digests []quarantine.Digest) error {
	_, err := v.Propose(ctx, quarantine.Update{Now: v.options.Now(), Lifted: digests})
	return err
}

// RecallCrashes takes back the crashes of upstreams that are heard of later all the same,
// if this voter leads. heard returns when a lifetime was heard of last, and false if it
// was not. RecallCrashes is called by one goroutine, twice a second or so.
func (v *Voter) RecallCrashes(ctx context.Context, heard func(quarantine.Lifetime) (time.Time, bool)) {
	now := v.options.Now()
	alive := v.recall.Alive(now, v.registry.Crashes(), heard)
	if _, leads := v.Leads(now); !leads || len(alive) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	_, err := v.Propose(ctx, quarantine.Update{Now: now, Alive: alive})
	v.options.Log.Info().Err(err).Int("upstreams", len(alive)).Str("first", alive[0].Upstream).
		Msg("upstreams were reported as ended, and live")
}

// Crashes returns what this replica has recorded of requests that were at upstreams as
// those ended.
func (v *Voter) Crashes() quarantine.Records {
	return v.registry.Crashes()
}
