package clerk

import (
	"github.com/lovagelift/lovagelift/internal/jury"
)

// written is the end of a Persist.
type written struct {
	batch uint64
	err   error
}

func (w written) event() jury.Event {
	if w.err != nil {
		return jury.Failed{Cause: w.err}
	}
	return jury.Synced{Batch: w.batch}
}

// writeAll does one Persist after the other. While one is synced, the member
// gathers the next.
func (c *Clerk) writeAll() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case persist := <-c.writes:
			// The member waits for this before it hands over the next, so that
			// the channel has room.
			c.written <- written{batch: persist.Batch, err: c.write(persist)}
		}
	}
}

// write does one Persist. A failed write or sync is never tried again: the disk
// may have dropped what it could not write and call the rest clean.
func (c *Clerk) write(persist jury.Persist) error {
	truncate := persist.TruncateFrom
	if snapshot := persist.Snapshot; snapshot != nil {
		if err := c.options.Store.RecordCluster(snapshot.Cluster); err != nil {
			return err
		}
		if err := c.options.Store.SaveSnapshot(*snapshot); err != nil {
			return err
		}
		if truncate > 0 {
			// The store keeps what follows the snapshot if its log led up to it.
			truncate = max(truncate, snapshot.Index+1)
		}
	}
	if err := c.options.Store.Append(persist.HardState, truncate, persist.Entries); err != nil {
		return err
	}
	c.metrics.synced.Inc(1)
	if persist.Snapshot == nil {
		return nil
	}
	return c.options.Store.Compact(persist.Snapshot.Index)
}
