package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// ChosenControl returns the control instance that an entry instance calls.
func ChosenControl(self string, entries int, alive []string, leader string) string {
	l := controlLinks{entryInstances: entries, alive: alive, leader: leader}
	return l.chooseControl(time.Time{}, self)
}

// ChosenControlNear is ChosenControl with some control instances in the failure domain of the entry
// instance.
func ChosenControlNear(self string, entries int, alive, near []string, leader string) string {
	l := controlLinks{entryInstances: entries, alive: alive, nearby: near, leader: leader}
	return l.chooseControl(time.Time{}, self)
}

// SyncDelay returns the time between two syncs with a control instance.
func SyncDelay(entries, upstreams int, alive []string, asked, leader string) time.Duration {
	l := controlLinks{entryInstances: entries, alive: alive, current: asked, leader: leader}
	return l.syncDelay(upstreams)
}

// NextSyncDelay returns the time until the next sync of one of several instances, after a reply.
func NextSyncDelay(pool UpstreamPool, entries int, catalog resumption.Catalog) time.Duration {
	p := NewQueue(pool, entries).proxy
	p.pool.setCatalog(catalog)
	p.control.interval = p.control.syncDelay(len(p.pool.byName))
	return p.nextSyncDelay()
}

// NeedsProof reports whether requests wait at now for a proof of the routes, which were last proven
// and first found unproven at the given times. Zero times stand for never.
func NeedsProof(now, proven, unproven time.Time, maxDelay time.Duration, disconnected bool) bool {
	l := controlLinks{unprovenSince: unproven, disconnected: disconnected}
	if !proven.IsZero() {
		l.proof = l.proof.With(proven, "control", 1, edition.Reading{Version: 1, Confirmed: true})
	}
	return l.needsProof(now, maxDelay)
}

// ControlChooser gives specs access to the choice of a control instance without a network.
type ControlChooser struct {
	control controlLinks
}

// NewControlChooser returns a ControlChooser that calls the first of several control instances,
// which is the leader.
func NewControlChooser(controls ...string) *ControlChooser {
	return &ControlChooser{control: controlLinks{known: controls, alive: controls, leader: controls[0], current: controls[0]}}
}

// AfterReply returns the control instance to call after a reply.
func (c *ControlChooser) AfterReply(now time.Time, confirmed bool, age time.Duration) string {
	c.control.current = c.control.afterReply(now, "entry", edition.Reading{Confirmed: confirmed, Age: age}, time.Second)
	return c.control.current
}

// LoadLimiter gives specs access to the limiter of load calls.
type LoadLimiter struct {
	limiter *loadLimiter
}

// NewLoadLimiter returns the limiter of an instance that has made no call.
func NewLoadLimiter() LoadLimiter {
	return LoadLimiter{newLoadLimiter()}
}

// Allow reports whether an instance with the given share may make a load call for an adapter now.
func (l LoadLimiter) Allow(now time.Time, adapter string, share float64) bool {
	return l.limiter.delay(now, courier.WantArgs{Adapter: adapter}, 1, share) == 0
}

// RecordResult records the result of a call.
func (l LoadLimiter) RecordResult(now time.Time, adapter string, loaded bool) {
	l.limiter.recordResult(now, courier.WantArgs{Adapter: adapter}, loaded)
}
