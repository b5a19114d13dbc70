package clerk

import (
	"github.com/lovagelift/lovagelift/internal/jury"
)

// writeResult is the result of a Persist.
type writeResult struct {
	batch uint64
	err   error
}

func (w writeResult) event() jury.Event {
	if w.err != nil {
		return jury.Failed{Cause: w.err}
	}
	return jury.Synced{Batch: w.batch}
}

// runWriter performs one Persist at a time. Meanwhile the member collects the next one.
func (r *Replica) runWriter() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case persist := <-r.writes:
			// Does not block: the member issues the next Persist only after it received this
			// result.
			r.writeResults <- writeResult{batch: persist.Batch, err: r.write(persist)}
		}
	}
}

// write performs a Persist. It never retries a failed write or sync: the operating system may have
// dropped the dirty pages and marked them clean, so that a later sync succeeds without the data.
func (r *Replica) write(persist jury.Persist) error {
	truncate := persist.TruncateFrom
	if snapshot := persist.Snapshot; snapshot != nil {
		if err := r.options.Store.RecordCluster(snapshot.Cluster); err != nil {
			return err
		}
		if err := r.options.Store.SaveSnapshot(*snapshot); err != nil {
			return err
		}
		if truncate > 0 {
			// SaveSnapshot keeps the entries after the snapshot if the log contains the snapshot's
			// last entry. Only those entries are left to truncate.
			truncate = max(truncate, snapshot.Index+1)
		}
	}
	if err := r.options.Store.Append(persist.HardState, truncate, persist.Entries); err != nil {
		return err
	}
	r.metrics.syncedBatches.Inc(1)
	if persist.Snapshot == nil {
		return nil
	}
	return r.options.Store.Compact(persist.Snapshot.Index)
}
