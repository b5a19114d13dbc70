package backoffice

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

const (
	// originCopyInterval is the time between two calls that copy new origins.
	originCopyInterval = 125 * time.Millisecond
	// originCheckInterval is the time between two calls without new origins, which notice that the copies
	// have been lost.
	originCheckInterval = time.Second
	// copiedResolution bounds by how much a copy of an origin outlasts it.
	copiedResolution = time.Second
)

// originCopier copies the origins that entry instances report to this control instance to one other, its
// successor, so that they survive the loss of either process. After a restart, the successor returns them.
// While there are none, it calls the successor once.
type originCopier struct {
	instance *Instance
	// successor has the copies, and is empty if there is no other control instance.
	successor string
	// process is the process of the successor that has all origins but those that are not copied yet, and 0
	// if none has.
	process  uint64
	calledAt time.Time
}

func (c *originCopier) run(ctx context.Context) {
	for pause.For(ctx, originCopyInterval) {
		now := c.instance.options.Now()
		if args, due := c.nextCall(now); due {
			reply, err := c.instance.callPool.CopyOrigins(ctx, c.successor, args)
			c.finishCall(c.instance.options.Now(), args, reply, err)
		}
	}
}

// nextCall returns the next call to the successor. It returns false if none is due.
func (c *originCopier) nextCall(now time.Time) (courier.OriginCopyArgs, bool) {
	i := c.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	if successor := i.originSuccessor(now); successor != c.successor {
		c.successor, c.process, c.calledAt = successor, 0, time.Time{}
	}
	args := courier.OriginCopyArgs{From: i.options.Address, Known: c.process, Streams: i.uncopiedStreams}
	check := now.Sub(c.calledAt) >= originCheckInterval
	switch {
	case c.successor == "":
		i.uncopiedStreams = nil
		return args, false
	case c.process == 0 && !check:
		// The next call copies all origins.
		i.uncopiedStreams = nil
		return args, false
	case c.process == 0:
		args.Streams = courier.GroupStreams(i.origins.All(now), copiedResolution)
	case len(args.Streams) == 0 && (!check || i.origins.Len() == 0):
		return args, false
	}
	i.uncopiedStreams = nil
	c.calledAt = now
	return args, true
}

// finishCall processes the reply of the successor.
func (c *originCopier) finishCall(now time.Time, args courier.OriginCopyArgs, reply courier.OriginCopyReply, err error) {
	i := c.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	recordOrigins(now, &i.origins, reply.Streams)
	switch {
	case err != nil:
		c.process = 0
	case args.Known == 0:
		c.process = reply.Process
	case args.Known != reply.Process:
		// Another process has taken the place of the one that had the copies.
		c.process, c.calledAt = 0, time.Time{}
	}
}

// originSuccessor returns the control instance that follows this one in the order of addresses, among those in
// other failure domains if there are any. i.mu is held.
func (i *Instance) originSuccessor(now time.Time) string {
	var elsewhere, all []string
	for _, instance := range i.roster.Instances(now) {
		p := i.peers[instance.Name]
		if instance.Identity == "" || p == nil || p.unreachable {
			continue
		}
		all = append(all, instance.Name)
		if instance.FailureDomain != i.options.FailureDomain {
			elsewhere = append(elsewhere, instance.Name)
		}
	}
	candidates := elsewhere
	if len(elsewhere) == 0 {
		candidates = all
	}
	if len(candidates) == 0 {
		return ""
	}
	slices.Sort(candidates)
	next, _ := slices.BinarySearch(candidates, i.options.Address)
	return candidates[next%len(candidates)]
}

// CopyOrigins records the origins of another control instance. If the caller does not know this process, the
// reply has those that the caller reported before.
func (f feedServer) CopyOrigins(args courier.OriginCopyArgs) courier.OriginCopyReply {
	i := f.instance
	now := i.options.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	reply := courier.OriginCopyReply{Process: uint64(i.startedAt.UnixNano())}
	copies := i.originCopies[args.From]
	if copies == nil {
		copies = &resumption.Origins{}
		i.originCopies[args.From] = copies
	}
	if args.Known != reply.Process {
		reply.Streams = courier.GroupStreams(copies.All(now), copiedResolution)
	}
	recordOrigins(now, copies, args.Streams)
	maps.DeleteFunc(i.originCopies, func(_ string, copies *resumption.Origins) bool { return copies.Expire(now) == 0 })
	return reply
}
