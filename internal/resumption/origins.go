package resumption

import (
	"iter"
	"time"
)

// MaxRetention is the longest time for which an origin is kept.
const MaxRetention = 10 * time.Minute

// MaxStreams is the largest number of streams whose origins are kept. Those of further streams are
// not recorded.
const MaxStreams = 1 << 16

// sweepInterval is the time between two removals of expired origins.
const sweepInterval = time.Second

// Origins holds the origins of streams that may be resumed. The zero value is empty and ready to
// use. It is not safe for concurrent use.
type Origins struct {
	byStream map[StreamID]expiringOrigin
	sweptAt  time.Time
}

type expiringOrigin struct {
	Origin
	expires time.Time
	// reported is true once other instances know the origin.
	reported bool
}

// Record records that a stream began at origin and may be resumed until expires, which is at most
// MaxRetention from now. If there are MaxStreams others, it does nothing.
func (o *Origins) Record(now time.Time, stream StreamID, origin Origin, expires time.Time) {
	if o.byStream == nil {
		o.byStream = map[StreamID]expiringOrigin{}
	}
	o.sweep(now)
	if _, known := o.byStream[stream]; !known && len(o.byStream) >= MaxStreams {
		return
	}
	if latest := now.Add(MaxRetention); expires.After(latest) {
		expires = latest
	}
	o.byStream[stream] = expiringOrigin{Origin: origin, expires: expires}
}

// MarkReported records that other instances know the origin of a stream, until it is recorded again.
func (o *Origins) MarkReported(stream StreamID) {
	if known, found := o.byStream[stream]; found {
		known.reported = true
		o.byStream[stream] = known
	}
}

// Shorten makes the origin of a stream expire at the given time, unless it expires earlier.
func (o *Origins) Shorten(stream StreamID, expires time.Time) {
	if known, found := o.byStream[stream]; found && expires.Before(known.expires) {
		known.expires = expires
		o.byStream[stream] = known
	}
}

// Find returns the origin of a stream. It returns false if the origin is unknown or has expired.
func (o *Origins) Find(now time.Time, stream StreamID) (Origin, bool) {
	known, found := o.byStream[stream]
	if !found || !now.Before(known.expires) {
		return Origin{}, false
	}
	return known.Origin, true
}

// Expire removes expired origins, unless it was done just before, and returns the number of the others.
func (o *Origins) Expire(now time.Time) int {
	o.sweep(now)
	return len(o.byStream)
}

// Len returns the number of origins, including expired ones that have not been removed.
func (o *Origins) Len() int {
	return len(o.byStream)
}

// Record is the origin of a stream that may be resumed for the Remaining time.
type Record struct {
	Stream StreamID
	Origin
	Remaining time.Duration
}

// All returns the origins that have not expired.
func (o *Origins) All(now time.Time) iter.Seq[Record] {
	return o.records(now, func(expiringOrigin) bool { return true })
}

// Unreported returns the origins that have neither expired nor been reported.
func (o *Origins) Unreported(now time.Time) iter.Seq[Record] {
	return o.records(now, func(known expiringOrigin) bool { return !known.reported })
}

// records returns the selected origins that have not expired.
func (o *Origins) records(now time.Time, selected func(expiringOrigin) bool) iter.Seq[Record] {
	return func(yield func(Record) bool) {
		for stream, known := range o.byStream {
			if remaining := known.expires.Sub(now); remaining > 0 && selected(known) && !yield(Record{stream, known.Origin, remaining}) {
				return
			}
		}
	}
}

func (o *Origins) sweep(now time.Time) {
	if now.Sub(o.sweptAt) < sweepInterval {
		return
	}
	o.sweptAt = now
	for stream, known := range o.byStream {
		if !now.Before(known.expires) {
			delete(o.byStream, stream)
		}
	}
}
