package jury

import "github.com/cockroachdb/errors"

// State is the persistent state that a member loads from its disk when it
// starts. A member without a snapshot is blank: it waits for a Bootstrap or for
// a leader's snapshot. The zero value is the state of a new blank member.
type State struct {
	// Cluster is the cluster that the disk belongs to. It is written before the
	// first snapshot, so it may be set while Snapshot is empty. The member then
	// joins no other cluster.
	Cluster   string
	HardState HardState
	// Snapshot may lack its Cluster.
	Snapshot Snapshot
	// Entries have consecutive indices. They may overlap Snapshot.
	Entries []Entry
}

// logAfterSnapshot returns a log of the entries that follow the snapshot, and
// whether the disk holds stale entries that conflict with the snapshot.
//
// A crash between the write of a snapshot and the removal of the old entries
// leaves stale entries. The snapshot replaced them, so they are discarded;
// keeping them would yield a log that mixes two histories.
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
			return log, false, errors.Newf("jury: entry %d on the disk is followed by entry %d", log.last(), entry.Index)
		}
	}
	return log, false, nil
}

// check returns an error if s is inconsistent, so that no member can have
// written it.
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
		return errors.Newf("jury: the disk belongs to cluster %q, but its snapshot to cluster %q", s.Cluster, s.Snapshot.Cluster)
	case !blank && len(s.Snapshot.Voters) == 0:
		return errors.New("jury: the snapshot on the disk has no voters")
	}
	return nil
}
