package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/speed"
)

// Waiter is a request in a Queue.
type Waiter = *waiter

// EnqueueBatch adds a batch request that arrived at a given time. mixed is true if the routes hold
// interactive requests beside batch requests.
func (q Queue) EnqueueBatch(now, arrived time.Time, model string, objective, deadline time.Duration, mixed bool) *waiter {
	w := q.waiter(arrived, model, objective)
	w.requirements.deadline, w.requirements.mixed, w.requirements.batch = arrived.Add(deadline), mixed, true
	return q.enqueue(now, w)
}

// MaxWait returns how long a request may wait.
func MaxWait(w *waiter) time.Duration {
	return w.requirements.maxWait()
}

// GrantedUpstream returns the upstream that a request was granted, empty if it waits.
func GrantedUpstream(w *waiter) string {
	select {
	case granted := <-w.requester.(localRequest).grants:
		return granted.upstream.name
	default:
		return ""
	}
}

// RejectsOrLoads is Rejects, but requests the load of a missing model. It returns the number of load
// calls as well.
func (q Queue) RejectsOrLoads(now time.Time, w *waiter) (rejects bool, calls int) {
	q.proxy.mu.Lock()
	defer q.proxy.mu.Unlock()
	rejects = q.proxy.rejectOrWait(now, w) != nil
	return rejects, len(q.proxy.pendingLoads)
}

// PeerUses records a peer's prompt and its number of requests at an upstream.
func (p UpstreamPool) PeerUses(now time.Time, name string, active int) {
	p.pool.byName[name].recordPeerUse(now, peerUse{prefill: PromptTime(), active: active, peer: 1})
}

// PromptTime is the prefill time of a request in a Queue, and ServiceTime the time that it spends at an
// engine.
func PromptTime() time.Duration  { return prefillTime(1000) }
func ServiceTime() time.Duration { return speed.New(3).RequestTime() }
