package counter

import (
	"math"
	"time"
)

// others estimates how many requests other instances have at an engine. Each tells its
// number with every request that it sends there; what it told shrinks with the time that
// requests take, until it tells again.
//
// A report of the engine is half a second old or more: counted with all that was sent
// since, an engine of 24 places whose requests take a second looked full while a quarter
// of them was free.
type others struct {
	byInstance map[uint32]toldOpen
	sum        float64
	at         time.Time
}

// toldOpen is what one instance told.
type toldOpen struct {
	open int
	at   time.Time
}

// told takes in that an instance has open requests, which take run.
func (o *others) told(now time.Time, run time.Duration, sender uint32, open int) {
	if o.byInstance == nil {
		o.byInstance = map[uint32]toldOpen{}
	}
	before := o.byInstance[sender]
	rest := o.left(now, run) - float64(before.open)*fade(now.Sub(before.at), run)
	o.sum, o.at = max(rest, 0)+float64(open), now
	o.byInstance[sender] = toldOpen{open: open, at: now}
}

// correct takes in that an engine had off more requests at a time than was thought.
func (o *others) correct(now, at time.Time, run time.Duration, off float64) {
	rest := o.left(now, run) + off*fade(now.Sub(at), run)
	o.sum, o.at = max(rest, 0), now
}

// left returns about how many there are at now.
func (o *others) left(now time.Time, run time.Duration) float64 {
	return o.sum * fade(now.Sub(o.at), run)
}

// fade returns the part of requests that is left after some time, between 0 and 1.
func fade(age, run time.Duration) float64 {
	if age <= 0 || run <= 0 {
		return 1
	}
	return math.Exp(-age.Seconds() / run.Seconds())
}
