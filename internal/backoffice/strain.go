package backoffice

import "time"

const (
	// calmLate is how late a control instance that has processor time to spare wakes at the
	// most.
	calmLate = 20 * time.Millisecond
	// mostStrain bounds strain: what is put off must still be done.
	mostStrain = 4.0
	// strainRounds is over how many rounds strain is averaged: half a second, which is
	// less than a leader can be silent.
	strainRounds = 4
)

// strain says how short of processor time a control instance is, from how late it wakes.
//
// A leader whose time is used up by questions sends its heartbeats late and is replaced,
// and the next one, which knows nothing yet, has still more to do. With strain it puts
// off what can wait, so that the agreement keeps its time: plans, reports, what it tells,
// and the calls of entry instances, which learn of it from each answer.
type strain struct {
	late time.Duration
}

// with returns the strain after a round that began late.
func (s strain) with(late time.Duration) strain {
	s.late += (late - s.late) / strainRounds
	return s
}

// factor returns by how much all that can wait is put off, 1 if nothing is.
func (s strain) factor() float64 {
	return min(max(float64(s.late)/float64(calmLate), 1), mostStrain)
}

// stretch returns an interval that is put off by the strain.
func (s strain) stretch(interval time.Duration) time.Duration {
	return time.Duration(s.factor() * float64(interval))
}
