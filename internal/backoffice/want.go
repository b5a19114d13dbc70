package backoffice

import (
	"context"
	"hash/fnv"
	"strings"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/pause"
)

// want has an engine load an adapter and returns its name.
func (o *orders) want(ctx context.Context, args courier.WantArgs) courier.WantReply {
	if args.Adapter == "" {
		return o.wantModel(ctx, args)
	}
	for {
		reply, wait := o.tryWant(ctx, args)
		if wait == nil {
			return reply
		}
		select {
		case <-ctx.Done():
			return courier.WantReply{Reason: "not in time"}
		case <-wait:
		case <-time.After(wantLook):
		}
		if !pause.For(ctx, wantEvery) {
			return courier.WantReply{Reason: "not in time"}
		}
	}
}

// notLeader is the answer of an instance that gives no orders.
var notLeader = courier.WantReply{Reason: "this instance gives no orders", NotLeader: true}

const (
	// wantEvery is the least time between two looks of one call at the engines. Reports
	// come 200 times a second, and each had every call that waits look at 140 engines: the
	// leader had no time left and was replaced every other second.
	wantEvery = 20 * time.Millisecond
	// wantLook is the longest time between two looks: the engine that a call waits for may
	// have gone.
	wantLook = 200 * time.Millisecond
	// wantModelEvery is the least time between two looks of a call for a model, which takes
	// some seconds to load.
	wantModelEvery = 100 * time.Millisecond
)

// tryWant makes one step towards an adapter. If it can't tell the end yet, it
// returns what to wait for.
func (o *orders) tryWant(ctx context.Context, args courier.WantArgs) (courier.WantReply, <-chan struct{}) {
	now := o.office.options.Now()
	o.mu.Lock()
	if o.term == 0 {
		o.mu.Unlock()
		return notLeader, nil
	}
	e := o.adapterEngine(now, args)
	if e == nil {
		o.mu.Unlock()
		return courier.WantReply{Reason: "no engine holds the model"}, nil
	}
	o.asked[Adapter{Model: args.Model, Name: args.Adapter}] = now
	if e.holds(args.Model, args.Adapter) {
		o.mu.Unlock()
		return courier.WantReply{Engine: e.Name}, nil
	}
	if !o.leases.free(now, e.Name) {
		o.mu.Unlock()
		return courier.WantReply{Reason: "another instance has ordered the engine a moment ago"}, nil
	}
	if e.ordering || e.stale {
		news := e.news
		o.mu.Unlock()
		return courier.WantReply{}, news
	}
	order := Order{Kind: Load, Model: args.Model, Adapter: args.Adapter}
	if !e.fitsAdapter(now, args.Model) {
		order.Kind = Unload
		oldest := o.leastRecent(now, e)
		order.Model, order.Adapter = oldest.Model, oldest.Name
		if order.Adapter == "" || e.report.Busy || now.Before(e.adaptersFullUntil) {
			o.mu.Unlock()
			return courier.WantReply{Reason: "all places for adapters are in use"}, nil
		}
	}
	e.ordering = true
	o.mu.Unlock()
	if !o.give(ctx, e, order) {
		return courier.WantReply{Reason: "the order was not carried out"}, nil
	}
	if order.Kind == Load && !pause.For(ctx, adapterTime) {
		return courier.WantReply{Reason: "not in time"}, nil
	}
	return o.tryWant(ctx, args)
}

// adapterEngine returns the engine for an adapter: one that holds it, else the
// one with the highest hash among those that hold the model, may be ordered and
// have a place, so that several askers agree.
func (o *orders) adapterEngine(now time.Time, args courier.WantArgs) *engine {
	var chosen *engine
	var highest uint64
	for name, e := range o.engines {
		if e.service != args.Service || e.leaving || !e.known || !e.holds(args.Model, "") {
			continue
		}
		if e.holds(args.Model, args.Adapter) {
			return e
		}
		score := uint64(rank(name, args.Adapter))
		if o.hasPlace(now, e, args.Model) {
			score |= 1 << 32
		}
		if o.leases.free(now, e.Name) {
			score |= 1 << 33
		}
		if chosen == nil || score > highest || score == highest && name < chosen.Name {
			chosen, highest = e, score
		}
	}
	return chosen
}

// rank is a hash of two names.
func rank(a, b string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(strings.Join([]string{a, b}, "\x00")))
	return sum.Sum32()
}
