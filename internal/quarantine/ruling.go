package quarantine

import (
	"hash/fnv"
	"slices"
	"time"
)

// Decision is whether a request may be sent.
type Decision uint8

// Values of Decision.
const (
	// DecisionSend means that the request may be sent.
	DecisionSend Decision = iota
	// DecisionTry means that the request may be sent as a trial, if Trials allow it.
	DecisionTry
	// DecisionRefuse means that the request must not be sent.
	DecisionRefuse
)

// Ruling is the decision on a request.
type Ruling struct {
	Decision Decision
	// Digests are those in quarantine that the ruling is about: the request's own or those of
	// parts of its prompt. There are none if it may be sent.
	Digests []Digest
	// Suspected is true if it isn't certain that the request crashes upstreams: its prompt has
	// only some of the parts, or the crashes may be due to chance.
	Suspected bool
	// Probation is true if the request is sent one copy at a time because it was at a crash.
	Probation bool
	// Crashes is the number of crashes that are known of a request on probation.
	Crashes int
}

// TrialID identifies the trials of the request, or of the parts, that a ruling is about.
type TrialID uint64

// Trial returns the trial that the request would be.
func (r Ruling) Trial() Trial {
	return Trial{ID: trialOf(r.Digests...), Crashes: r.Crashes}
}

func trialOf(digests ...Digest) TrialID {
	sum := fnv.New64a()
	for _, digest := range digests {
		_, _ = sum.Write(digest[:])
	}
	return TrialID(sum.Sum64())
}

// held is an Entry of the news at an instance.
type held struct {
	digests []Digest
	// from is the time from which its requests are not sent, and trialFrom the time from which
	// one may be sent as a trial if part is true.
	from, trialFrom time.Time
	part            bool
	// suspected is true if the crashes may be due to chance.
	suspected bool
}

// Rule returns the decision on a request with the given parts of its prompt.
//
// Parts that can't be told apart are in quarantine together. A request with some of them shows
// which they are, and may crash an upstream. It is sent as a trial. So is a request with all parts
// of an entry when its trial is due, so that an entry that is wrong is cleared.
func (w *Watch) Rule(now time.Time, digest Digest, parts ...Digest) Ruling {
	ruling := w.ruleByProbation(now, digest)
	if len(w.quarantined) == 0 {
		return ruling
	}
	for _, entry := range w.entriesOf(now, digest, parts) {
		if found := ruleByEntry(now, entry, digest, parts); found.isStricterThan(ruling) {
			ruling = found
		}
	}
	return ruling
}

// entriesOf returns the entries in force that have the digest or one of the parts.
func (w *Watch) entriesOf(now time.Time, digest Digest, parts []Digest) []*held {
	entries := slices.Clone(w.quarantined[digest])
	for _, part := range parts {
		entries = append(entries, w.quarantined[part]...)
	}
	return slices.DeleteFunc(entries, func(entry *held) bool { return now.Before(entry.from) })
}

func ruleByEntry(now time.Time, entry *held, digest Digest, parts []Digest) Ruling {
	isMissing := func(d Digest) bool { return d != digest && !slices.Contains(parts, d) }
	partial := slices.ContainsFunc(entry.digests, isMissing)
	ruling := Ruling{Decision: DecisionRefuse, Digests: entry.digests, Suspected: partial || entry.suspected}
	if partial || entry.part && !now.Before(entry.trialFrom) {
		ruling.Decision = DecisionTry
	}
	return ruling
}

// isStricterThan reports whether r takes precedence over other: a refusal over a trial, an entry over
// probation, and certainty over suspicion.
func (r Ruling) isStricterThan(other Ruling) bool {
	if r.Decision != other.Decision {
		return r.Decision > other.Decision
	}
	if r.Probation != other.Probation {
		return other.Probation
	}
	return other.Suspected && !r.Suspected
}
