package jury

import "github.com/cockroachdb/errors"

// State is what a member finds on its disk when it starts. The zero value is
// that of a blank member.
type State struct {
	HardState HardState
	Snapshot  Snapshot
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
	case !blank && (s.Snapshot.Cluster == "" || len(s.Snapshot.Voters) == 0):
		return errors.New("jury: the snapshot on the disk names no cluster or no voters")
	}
	return nil
}
