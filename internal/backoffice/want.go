package backoffice

import (
	"cmp"
	"context"
	"hash/fnv"
	"strings"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/pause"
)

// ensureHeld returns an engine that holds the requested model or adapter. It orders the
// load of a missing adapter, and waits until a plan has loaded a missing model.
func (o *orchestrator) ensureHeld(ctx context.Context, args courier.WantArgs) courier.WantReply {
	if args.Adapter == "" {
		return o.awaitModel(ctx, args)
	}
	for {
		reply, retry := o.ensureAdapter(ctx, args)
		if retry == nil {
			return reply
		}
		select {
		case <-ctx.Done():
			return courier.WantReply{Reason: "not in time"}
		case <-retry:
		case <-time.After(maxAdapterCheckInterval):
		}
		if !pause.For(ctx, minAdapterCheckInterval) {
			return courier.WantReply{Reason: "not in time"}
		}
	}
}

// notLeaderReply is the reply of an instance that does not lead.
var notLeaderReply = courier.WantReply{Reason: "this instance gives no orders", NotLeader: true}

const (
	// minAdapterCheckInterval is the minimum interval between two attempts of one call.
	// Reports arrive 200 times a second. If all waiting calls searched 140 engines after
	// each report, the leader would have no time left and would be replaced every other
	// second.
	minAdapterCheckInterval = 20 * time.Millisecond
	// maxAdapterCheckInterval is the maximum interval between two attempts, as the engine
	// that a call waits for may be gone.
	maxAdapterCheckInterval = 200 * time.Millisecond
	// minModelCheckInterval is the minimum interval between two checks of a call for a
	// model, which takes some seconds to load.
	minModelCheckInterval = 100 * time.Millisecond
)

// ensureAdapter makes one attempt to find an engine that holds an adapter, and orders the
// load if none does. If the outcome is open, it returns a channel to wait on before the
// next attempt.
func (o *orchestrator) ensureAdapter(ctx context.Context, args courier.WantArgs) (courier.WantReply, <-chan struct{}) {
	now := o.instance.options.Now()
	o.mu.Lock()
	if o.term == 0 {
		o.mu.Unlock()
		return notLeaderReply, nil
	}
	e := o.chooseAdapterEngine(now, args)
	if e == nil {
		reason := o.unavailableReason(now, args)
		o.mu.Unlock()
		return courier.WantReply{Reason: cmp.Or(reason, "no engine holds the model"), Unavailable: reason != ""}, nil
	}
	o.adapterRequestedAt[Adapter{Model: args.Model, Name: args.Adapter}] = now
	if e.holds(args.Model, args.Adapter) {
		o.mu.Unlock()
		return courier.WantReply{Engine: e.Name}, nil
	}
	if !o.leases.isFree(now, e.Name) {
		o.mu.Unlock()
		return courier.WantReply{Reason: "another instance has ordered the engine a moment ago"}, nil
	}
	if e.orderPending || e.stale {
		updated := e.updated
		o.mu.Unlock()
		return courier.WantReply{}, updated
	}
	order := Order{Kind: Load, Model: args.Model, Adapter: args.Adapter}
	if !e.fitsAdapter(now, args.Model) {
		order.Kind = Unload
		evicted := o.evictableAdapter(now, e)
		order.Model, order.Adapter = evicted.Model, evicted.Name
		if order.Adapter == "" || e.report.Busy || now.Before(e.adapterLoadsBlockedUntil) {
			o.mu.Unlock()
			return courier.WantReply{Reason: "all places for adapters are in use"}, nil
		}
	}
	order = e.beginOrder(order)
	o.mu.Unlock()
	if !o.sendOrder(ctx, e, order) {
		return courier.WantReply{Reason: "the order was not carried out"}, nil
	}
	if order.Kind == Load && !pause.For(ctx, adapterLoadTime) {
		return courier.WantReply{Reason: "not in time"}, nil
	}
	return o.ensureAdapter(ctx, args)
}

// mayServe reports whether the engine may serve the requests for which a load is requested.
func (e *engine) mayServe(args courier.WantArgs) bool {
	return e.service == args.Service && !e.isLeaving() && args.Software.Allows(e.softwareVersion)
}

// chooseAdapterEngine returns the engine for an adapter. It prefers one that holds the
// adapter already. Among the others that hold the model, it prefers engines whose lease
// is free, then those that can load an adapter, then the highest hash, so that several
// calls choose the same engine. o.mu is held.
func (o *orchestrator) chooseAdapterEngine(now time.Time, args courier.WantArgs) *engine {
	var chosen *engine
	var highest uint64
	for name, e := range o.engines {
		if !e.mayServe(args) || !e.hasReport || !e.holds(args.Model, "") {
			continue
		}
		if e.holds(args.Model, args.Adapter) {
			return e
		}
		score := uint64(hashScore(name, args.Adapter))
		if o.canLoadAdapter(now, e, args.Model) {
			score |= 1 << 32
		}
		if o.leases.isFree(now, e.Name) {
			score |= 1 << 33
		}
		if chosen == nil || score > highest || score == highest && name < chosen.Name {
			chosen, highest = e, score
		}
	}
	return chosen
}

// hashScore returns a hash of two names (rendezvous hashing).
func hashScore(a, b string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(strings.Join([]string{a, b}, "\x00")))
	return sum.Sum32()
}
