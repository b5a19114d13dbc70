package backoffice

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
)

// A control instance keeps the origins of the streams of the entry instances that sync with it, for
// the case that all entry instances which know a stream are gone.

// recordOrigins records where streams began. i.mu is held.
func (i *Instance) recordOrigins(now time.Time, groups []courier.StreamGroup) {
	for _, group := range groups {
		for _, stream := range group.Streams {
			i.origins.Record(now, stream, group.Origin, now.Add(group.Remaining))
		}
	}
}

// Origin returns the origin of a stream.
func (f feedServer) Origin(args courier.OriginArgs) courier.OriginReply {
	i := f.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.options.Now()
	origin, known := i.origins.Find(now, args.Stream)
	return courier.OriginReply{Known: known, Origin: origin, KeptFor: now.Sub(i.startedAt)}
}
