package quarantine

import "time"

// Probation is a request in the news of which one copy is sent at a time.
type Probation struct {
	Digest Digest
	// Crashes is the number of crashes in the records.
	Crashes int
}

// probationTime is how long a request is on probation after its last crash.
const probationTime = time.Minute

// isOnProbation reports whether only one copy of a request may be sent at a time: one crash can't
// show that the request caused it, and several copies of it would crash as many upstreams.
func (c Case) isOnProbation(now time.Time) bool {
	return !c.isPart() && c.weight() >= weightNoOutput && now.Sub(c.last()) < probationTime
}

// probations returns the requests on probation whose crashes have the most weight.
func (r Records) probations(digests []Digest) []Probation {
	var probations []Probation
	for _, digest := range r.heaviest(digests) {
		probations = append(probations, Probation{Digest: digest, Crashes: len(r.cases[digest].Crashes)})
	}
	return probations
}

// KnownCrashes is what an instance knows of the crashes of a request on probation.
type KnownCrashes struct {
	Crashes int
	// Since is when the news of the last one arrived, and zero if it was in the first news.
	Since time.Time
}

// followedProbation is a request on probation at an instance that follows the news.
type followedProbation struct {
	KnownCrashes
	// until is the end of the probation. News that say so may be late.
	until time.Time
}

// setProbation replaces the requests on probation.
func (w *Watch) setProbation(now time.Time, probations []Probation, isFirst bool) {
	previous := w.probation
	w.probation = make(map[TrialID]followedProbation, len(probations))
	for _, p := range probations {
		trial := trialOf(p.Digest)
		known := followedProbation{KnownCrashes{Crashes: p.Crashes, Since: now}, now.Add(probationTime)}
		if before, found := previous[trial]; found && before.Crashes == p.Crashes {
			known = before
		} else if isFirst {
			known.Since = time.Time{}
		}
		w.probation[trial] = known
		w.clearIfSucceeded(now, p.Digest)
	}
}

// onProbation returns what the news say of a request. Most of the time they name none, and the identity of its
// trials need not be computed for each request and response.
func (w *Watch) onProbation(digest Digest) (known followedProbation, found bool) {
	if len(w.probation) == 0 {
		return followedProbation{}, false
	}
	known, found = w.probation[trialOf(digest)]
	return known, found
}

// KnownCrashes returns what is known here of the request of a trial.
func (w *Watch) KnownCrashes(trial TrialID) KnownCrashes {
	return w.probation[trial].KnownCrashes
}

// ruleByProbation returns the decision on a request by its crashes alone. If it is about to enter
// quarantine, its trials have an end.
func (w *Watch) ruleByProbation(now time.Time, digest Digest) Ruling {
	known, found := w.onProbation(digest)
	if !found || !now.Before(known.until) || w.successes.contains(now, digest) {
		return Ruling{}
	}
	ruling := Ruling{
		Decision: DecisionTry, Digests: []Digest{digest}, Suspected: true, Probation: true, Crashes: known.Crashes,
	}
	for _, entry := range w.quarantined[digest] {
		if now.Before(entry.from) && len(entry.digests) == 1 {
			ruling.Decision = DecisionRefuse
		}
	}
	return ruling
}
