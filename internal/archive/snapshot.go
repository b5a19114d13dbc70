package archive

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/parcel"
)

// Names of the files in the data folder. Numbers in names are hexadecimal with a
// fixed width, so that sorting by name sorts by number.
const (
	lockName        = "lock"
	identityName    = "identity"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
)

func numberedName(prefix string, number uint64) string {
	return fmt.Sprintf("%s%016x", prefix, number)
}

// parseName returns the number in a name that numberedName returned. ok is false
// if name doesn't consist of prefix and 16 hexadecimal digits.
func parseName(prefix, name string) (number uint64, ok bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

func appendSnapshot(buffer []byte, s jury.Snapshot) []byte {
	buffer = parcel.AppendUint(buffer, uint64(s.Index))
	buffer = parcel.AppendUint(buffer, uint64(s.Term))
	buffer = parcel.AppendBytes(buffer, s.Cluster)
	buffer = parcel.AppendUint(buffer, uint64(len(s.Voters)))
	for _, voter := range s.Voters {
		buffer = parcel.AppendBytes(buffer, voter)
	}
	return parcel.AppendBytes(buffer, s.Data)
}

func decodeSnapshot(payload []byte) (jury.Snapshot, error) {
	r := parcel.NewReader(payload)
	s := jury.Snapshot{Index: jury.Index(r.Uint()), Term: jury.Term(r.Uint()), Cluster: r.String()}
	for range r.Count() {
		s.Voters = append(s.Voters, jury.Identity(r.String()))
	}
	s.Data = r.Bytes()
	return s, r.End()
}
