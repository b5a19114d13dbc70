package courier

import (
	"iter"
	"time"

	"github.com/lovagelift/lovagelift/internal/resumption"
)

// StreamGroup is a group of streams with the same origin, which may be resumed for the Remaining time
// at most.
type StreamGroup struct {
	Origin    resumption.Origin
	Remaining time.Duration
	Streams   []resumption.StreamID
}

// GroupStreams groups streams by their origin. The remaining times in a group differ by less than resolution,
// and by any time if it is 0.
func GroupStreams(records iter.Seq[resumption.Record], resolution time.Duration) []StreamGroup {
	type key struct {
		resumption.Origin
		interval int64
	}
	var groups []StreamGroup
	index := map[key]int{}
	for record := range records {
		k := key{Origin: record.Origin}
		if resolution > 0 {
			k.interval = int64(record.Remaining / resolution)
		}
		n, found := index[k]
		if !found {
			n = len(groups)
			index[k] = n
			groups = append(groups, StreamGroup{Origin: record.Origin})
		}
		groups[n].Streams = append(groups[n].Streams, record.Stream)
		groups[n].Remaining = max(groups[n].Remaining, record.Remaining)
	}
	return groups
}
