package jury

import "github.com/cockroachdb/errors"

// State is what a member finds on its disk when it starts. The zero value is
// that of a blank member.
type State struct {
	// Cluster is the cluster that the disk was recorded for. It is recorded
	// before the first snapshot is written, so that it may be set without one.
	// The disk then takes no other cluster.
	Cluster   string
	HardState HardState
	// Snapshot may lack its Cluster.
	Snapshot Snapshot
	// Entries follow each other without a gap. They may begin before the end of
	// Snapshot.
	Entries []Entry
}

// logAfterSnapshot returns the entries of s that follow its snapshot as a log,
// and whether the disk holds entries that contradict the snapshot.
//
// A crash after a snapshot was written and before the old entries were removed
// leaves such entries. Nobody rests on them once there is the snapshot, so the
// snapshot wins; else a log with two histories would come back.
func (s State) logAfterSnapshot() (log entryLog, stale bool, err error) {
	log = entryLog{base: s.Snapshot.Index, baseTerm: s.Snapshot.Term}
	for _, entry := range s.Entries {
		switch {
		case entry.Index == s.Snapshot.Index && entry.Term != s.Snapshot.Term:
			return log, true, nil
		case entry.Index <= s.Snapshot.Index:
		case entry.Index == log.last()+1:
			log.append(entry)
		default:
			return log, false, errors.Newf("jury: the entry after %d on the disk is %d", log.last(), entry.Index)
		}
	}
	return log, false, nil
}

// check returns an error if s cannot have been written by a member.
func (s State) check() error {
	blank := s.Snapshot.Index == 0
	switch {
	case blank && len(s.Entries) > 0:
		return errors.New("jury: the disk holds entries but no snapshot")
	case blank && s.HardState.Vote != "":
		return errors.New("jury: the disk holds a vote but no snapshot")
	case !blank && s.Cluster == "":
		return errors.New("jury: the disk holds a snapshot but no cluster")
	case !blank && s.Snapshot.Cluster != "" && s.Snapshot.Cluster != s.Cluster:
		return errors.Newf("jury: the disk is of cluster %q, its snapshot of %q", s.Cluster, s.Snapshot.Cluster)
	case !blank && len(s.Snapshot.Voters) == 0:
		return errors.New("jury: the snapshot on the disk names no voters")
	}
	return nil
}
