package jury

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// voterSet is a set of voters and the log index from which it is in force. It is
// immutable.
type voterSet struct {
	// index is the index of the entry or snapshot that contains the set.
	index Index
	// ids are sorted and without duplicates.
	ids []Identity
}

func newVoterSet(index Index, ids []Identity) voterSet {
	sorted := slices.Clone(ids)
	slices.Sort(sorted)
	return voterSet{index: index, ids: slices.Compact(sorted)}
}

// contains reports whether id is a voter.
func (s voterSet) contains(id Identity) bool {
	_, found := slices.BinarySearch(s.ids, id)
	return found
}

// quorum returns the size of a majority.
func (s voterSet) quorum() int {
	return len(s.ids)/2 + 1
}

// with returns the set with id added.
func (s voterSet) with(id Identity) voterSet {
	return newVoterSet(0, append(slices.Clone(s.ids), id))
}

// without returns the set with id removed.
func (s voterSet) without(id Identity) voterSet {
	kept := slices.DeleteFunc(slices.Clone(s.ids), func(n Identity) bool { return n == id })
	return newVoterSet(0, kept)
}

// EncodeVoters returns the Data of an EntryVoters.
func EncodeVoters(voters []Identity) ([]byte, error) {
	data, err := json.Marshal(voters)
	return data, errors.Wrap(err, "jury: encode voters")
}

// DecodeVoters returns the voters in the Data of an EntryVoters.
func DecodeVoters(data []byte) ([]Identity, error) {
	var voters []Identity
	if err := json.Unmarshal(data, &voters); err != nil {
		return nil, errors.Wrap(err, "jury: decode voters")
	}
	if len(voters) == 0 {
		return nil, errors.New("jury: a set of voters is empty")
	}
	return voters, nil
}
