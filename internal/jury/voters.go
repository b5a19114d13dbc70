package jury

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// voterSet is a set of voters in force from an index of the log on. It is
// immutable.
type voterSet struct {
	// index is that of the entry or snapshot that brought the set.
	index Index
	// names are sorted, each once.
	names []Identity
}

func newVoterSet(index Index, names []Identity) voterSet {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return voterSet{index: index, names: slices.Compact(sorted)}
}

// contains reports whether name is a voter.
func (s voterSet) contains(name Identity) bool {
	_, found := slices.BinarySearch(s.names, name)
	return found
}

// quorum returns how many voters are a majority.
func (s voterSet) quorum() int {
	return len(s.names)/2 + 1
}

// with returns the set that also has name.
func (s voterSet) with(name Identity) voterSet {
	return newVoterSet(0, append(slices.Clone(s.names), name))
}

// without returns the set that lacks name.
func (s voterSet) without(name Identity) voterSet {
	kept := slices.DeleteFunc(slices.Clone(s.names), func(n Identity) bool { return n == name })
	return newVoterSet(0, kept)
}

// EncodeVoters returns the Data of an EntryVoters.
func EncodeVoters(names []Identity) ([]byte, error) {
	data, err := json.Marshal(names)
	return data, errors.Wrap(err, "jury: encode voters")
}

// DecodeVoters returns the set of voters that Data of an EntryVoters holds.
func DecodeVoters(data []byte) ([]Identity, error) {
	var names []Identity
	if err := json.Unmarshal(data, &names); err != nil {
		return nil, errors.Wrap(err, "jury: decode voters")
	}
	if len(names) == 0 {
		return nil, errors.New("jury: a set of voters is empty")
	}
	return names, nil
}
