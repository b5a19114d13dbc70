package counter

import "time"

// EnqueuePlain adds a request for the first group of a plain service.
func (q Queue) EnqueuePlain(arrived time.Time, objective time.Duration) *waiter {
	w := q.waiter(arrived, "", objective)
	w.requirements.group = "0"
	return q.enqueue(arrived, w)
}

// MixesUrgency reports whether the routes in force mix batch and interactive requests.
func (p *Proxy) MixesUrgency() bool {
	return p.mixesUrgency()
}

// EnqueuePlainAlone adds a request of this instance that it places without an owner.
func (i Instance) EnqueuePlainAlone(now time.Time, objective time.Duration) {
	q := i.Queue()
	w := q.waiter(now, "", objective)
	w.requirements.group, w.requirements.prefillTime, w.placingInstances = "0", 0, i.proxy.control.entryInstances
	w.requirements.pacing = pacing{}
	q.enqueue(now, w)
}

// RoutesVersion returns the version of the routes in force.
func (p *Proxy) RoutesVersion() uint64 {
	return p.routes.Load().Version
}
