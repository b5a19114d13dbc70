package backoffice

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// A control instance keeps the origins of the streams of the entry instances that sync with it, and
// copies of those of another control instance, for the case that all entry instances which know a stream
// are gone.

// recordReportedOrigins records where streams began that an entry instance has reported. i.mu is held.
func (i *Instance) recordReportedOrigins(now time.Time, groups []courier.StreamGroup) {
	recordOrigins(now, &i.origins, groups)
	i.uncopiedStreams = append(i.uncopiedStreams, groups...)
}

// recordOrigins records where streams began.
func recordOrigins(now time.Time, origins *resumption.Origins, groups []courier.StreamGroup) {
	for _, group := range groups {
		for _, stream := range group.Streams {
			origins.Record(now, stream, group.Origin, now.Add(group.Remaining))
		}
	}
}

// Origin returns the origin of a stream.
func (f feedServer) Origin(args courier.OriginArgs) courier.OriginReply {
	i := f.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.options.Now()
	if origin, known := i.findOrigin(now, args.Stream); known {
		return courier.OriginReply{Known: true, Origin: origin}
	}
	return courier.OriginReply{KeptFor: now.Sub(i.startedAt)}
}

// findOrigin returns the origin of a stream. i.mu is held.
func (i *Instance) findOrigin(now time.Time, stream resumption.StreamID) (resumption.Origin, bool) {
	if origin, known := i.origins.Find(now, stream); known {
		return origin, true
	}
	for _, copies := range i.originCopies {
		if origin, known := copies.Find(now, stream); known {
			return origin, true
		}
	}
	return resumption.Origin{}, false
}
