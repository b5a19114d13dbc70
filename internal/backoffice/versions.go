package backoffice

import (
	"context"
	"maps"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/routes"
)

const (
	// versionCheckInterval is the interval between two checks for versions that came into use. No stream
	// that may be resumed begins at a version before it is recorded.
	versionCheckInterval = 100 * time.Millisecond
	// versionRecordTimeout bounds the recording of one update.
	versionRecordTimeout = time.Second
	// retentionTimeouts is how long a version stays recorded after its last use, in multiples of the longest
	// timeout of a route: a caller may take longer than that of one attempt.
	retentionTimeouts = 2
)

// versionRecorder records in the replicated log which software versions are in use, and which routes are
// settled, while this instance leads. A leader that has just started counts the last use of whatever is
// recorded as its own start.
type versionRecorder struct {
	instance *Instance
	versions resumption.Versions
	cursor   uint64
	// beginners are the entry instances, also those from which nothing is heard any more.
	beginners resumption.Beginners
	// leadsSince is the time since which this instance leads, and zero while it does not.
	leadsSince time.Time
	// table are the routes in force, nil before the first, and editionChanges counts their changes.
	// redirectedAt is the latest time at which one may have led requests elsewhere, and zero if none has.
	table          *routes.Table
	editionChanges uint64
	redirectedAt   time.Time
	// formerTimeouts holds the longest timeouts of routes that are no longer in force, and when each last was.
	formerTimeouts map[time.Duration]time.Time
}

func (r *versionRecorder) run(ctx context.Context) {
	for pause.For(ctx, versionCheckInterval) {
		now := r.instance.options.Now()
		r.observeBeginners(now)
		if _, leads := r.instance.voter.IsLeader(now); !leads {
			r.leadsSince = time.Time{}
			continue
		}
		if update := r.nextUpdate(now); !update.Empty() {
			r.record(ctx, update)
		}
	}
}

func (r *versionRecorder) record(ctx context.Context, update resumption.RecordsUpdate) {
	ctx, cancel := context.WithTimeout(ctx, versionRecordTimeout)
	defer cancel()
	err := r.instance.voter.RecordVersions(ctx, update)
	r.instance.options.Log.Info().Err(err).Interface("added", update.Added).Interface("retired", update.Retired).
		Bool("routes-moved", update.RoutesMoved).Bool("routes-settled", update.SettledRoutes != 0).Msg("software versions recorded")
}

// nextUpdate returns what has to be recorded.
func (r *versionRecorder) nextUpdate(now time.Time) resumption.RecordsUpdate {
	records := r.instance.voter.Versions()
	if r.leadsSince.IsZero() {
		r.leadsSince, r.cursor = now, 0
		r.table, r.redirectedAt = nil, now
		r.formerTimeouts = map[time.Duration]time.Time{}
	}
	r.observeRoutes(now, records)
	inUse, complete := r.observeUpstreams(now)
	var update resumption.RecordsUpdate
	r.updateRoutes(now, records, &update)
	recorded := records.Versions()
	for version := range inUse {
		if !records.Has(version) && len(recorded)+len(update.Added) < r.maxRecords(version.Service) {
			update.Added = append(update.Added, version)
		}
	}
	for _, version := range recorded {
		if complete && !inUse[version] && r.isOver(now, r.lastUse(version)) {
			update.Retired = append(update.Retired, version)
		}
	}
	return update
}

// maxRecords returns the number of versions up to which one of a service is recorded. Services that no operator
// has declared leave room for others.
func (r *versionRecorder) maxRecords(service string) int {
	if r.table == nil || r.table.Services()[service] == nil {
		return resumption.MaxRecords / 2
	}
	return resumption.MaxRecords
}

// observeUpstreams returns the versions that are in use, and whether this instance knows all upstreams.
func (r *versionRecorder) observeUpstreams(now time.Time) (inUse map[resumption.ServiceVersion]bool, complete bool) {
	i := r.instance
	voters := i.voter.Status().Voters
	i.mu.Lock()
	defer i.mu.Unlock()
	var changed []roster.Upstream
	changed, r.cursor = i.roster.UpstreamsSince(r.cursor)
	for _, upstream := range changed {
		for _, service := range upstream.Announcement.Services {
			r.versions.Observe(service, upstream.Announcement.SoftwareVersion, upstream.LastContact)
		}
	}
	inUse = map[resumption.ServiceVersion]bool{}
	for _, upstream := range i.roster.Upstreams(now) {
		for _, service := range upstream.Announcement.Services {
			inUse[resumption.ServiceVersion{Service: service, Version: upstream.Announcement.SoftwareVersion}] = true
		}
	}
	return inUse, !i.isRosterIncomplete(now, voters)
}

// observeBeginners notes which entry instances are heard from.
func (r *versionRecorder) observeBeginners(now time.Time) {
	i := r.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, instance := range i.roster.Instances(now) {
		if instance.CallerAddress != "" {
			r.beginners.Observe(now, instance.Name, instance.LastContact, instance.Draining)
		}
	}
}

// isOver reports whether no stream is left at a version that was last in use at the given time. An entry instance
// that has not been heard from since the upstreams of the version expired may still use them.
func (r *versionRecorder) isOver(now, lastUse time.Time) bool {
	return now.Sub(lastUse) > r.retention(now) && !r.beginners.AnySilentSince(now, lastUse.Add(r.instance.options.UpstreamLease))
}

// lastUse returns the latest time at which a version may have been in use.
func (r *versionRecorder) lastUse(version resumption.ServiceVersion) time.Time {
	last := r.versions.LastUse(version.Service, version.Version)
	if last.Before(r.leadsSince) {
		return r.leadsSince
	}
	return last
}

// retention returns how long a version stays recorded after its last use.
func (r *versionRecorder) retention(now time.Time) time.Duration {
	if r.table == nil {
		return resumption.MaxRetention
	}
	longest := r.table.ResumableTimeout()
	for timeout, until := range r.formerTimeouts {
		if now.Sub(until) <= r.retentionFor(timeout) {
			longest = max(longest, timeout)
		}
	}
	return r.retentionFor(longest)
}

// retentionFor returns how long a version stays recorded if the longest timeout is the given one.
func (r *versionRecorder) retentionFor(timeout time.Duration) time.Duration {
	return min(retentionTimeouts*timeout+r.instance.options.UpstreamLease, resumption.MaxRetention)
}

// keepTimeout notes that routes are no longer in force. Streams that began by them may be resumed for as long as
// their timeouts allow.
func (r *versionRecorder) keepTimeout(now time.Time, former *routes.Table) {
	maps.DeleteFunc(r.formerTimeouts, func(timeout time.Duration, until time.Time) bool {
		return now.Sub(until) > r.retentionFor(timeout)
	})
	r.formerTimeouts[former.ResumableTimeout()] = now
}

// observeRoutes notes whether the routes in force lead requests elsewhere than those before them. Of routes
// that this instance has not seen, it is taken for granted.
func (r *versionRecorder) observeRoutes(now time.Time, records resumption.Records) {
	voter := r.instance.voter
	changes := voter.EditionChanges()
	table := r.instance.orchestrator.routes()
	if table == nil || table.Version != voter.Edition().Version || changes != voter.EditionChanges() || r.table != nil && r.table.Version == table.Version {
		return
	}
	former, missed := r.table, changes != r.editionChanges+1
	r.table, r.editionChanges = table, changes
	if former != nil {
		r.keepTimeout(now, former)
	}
	switch {
	case changes == 1, former == nil && records.SettledRoutes() == table.ResumableDigest():
		// The first routes follow no others.
		r.redirectedAt = time.Time{}
	case former == nil, missed:
		r.redirectedAt = now
	case former.ResumableDigest() != table.ResumableDigest() && len(former.Redirections(table)) > 0:
		r.redirectedAt = now
	}
}

// updateRoutes adds to an update what has to be recorded of the routes in force.
func (r *versionRecorder) updateRoutes(now time.Time, records resumption.Records, update *resumption.RecordsUpdate) {
	if r.table == nil {
		return
	}
	settled, digest := records.SettledRoutes(), r.table.ResumableDigest()
	switch moved := now.Sub(r.redirectedAt) <= r.retention(now); {
	case moved && settled != 0:
		update.RoutesMoved = true
	case !moved && settled != digest:
		update.SettledRoutes = digest
	}
}

// fillVersions adds the recorded versions to a reply, unless the caller has them. A caller that has none gets
// an empty list, too: it must not take control instances that keep records for those that keep none.
func (i *Instance) fillVersions(known uint64, reply *courier.SyncReply) {
	if records := i.voter.Versions(); records.Revision() > known || known == 0 {
		list := resumption.ListOf(records)
		reply.Versions = &list
	}
}
