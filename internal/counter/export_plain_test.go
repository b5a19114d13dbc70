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
