package registry

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxKeptAnswers limits the number of answers kept for retried changes. At
	// 1,000 changes a day they cover ten days.
	maxKeptAnswers = 10_000
	// answerRetention is how long an answer is kept. A retry after its answer was
	// dropped is still not applied twice, because the change expects a revision
	// that is no longer current.
	answerRetention = 30 * 24 * time.Hour
	// maxConflictChanges limits the number of changes listed in a conflict.
	maxConflictChanges = 8
)

// configuration is the replicated configuration with its recent changes.
type configuration struct {
	revision     Revision
	preset       string
	presets      []string
	declarations []byte
	// recentChanges are the last maxConflictChanges applied changes, oldest first.
	recentChanges []AppliedChange
	// answers are the retained answers to changes, oldest first.
	answers []recordedAnswer
	// answersByID indexes answers by change ID.
	answersByID map[string]recordedAnswer
	// latestTime is the latest Change.Now. Retention of answers is measured by it.
	latestTime time.Time
}

// recordedAnswer is the original answer to a change.
type recordedAnswer struct {
	ID     string       `json:"id"`
	Digest string       `json:"digest"`
	At     time.Time    `json:"at"`
	Answer ChangeResult `json:"answer"`
}

func newConfiguration() *configuration {
	return &configuration{answersByID: map[string]recordedAnswer{}}
}

// apply executes a change and records the answer. A retry gets the original
// answer.
func (c *configuration) apply(change Change) ChangeResult {
	digest := change.digest()
	if previous, ok := c.answersByID[change.ID]; ok {
		if previous.Digest == digest {
			return previous.Answer
		}
		return c.answer(VerdictIDReused, fmt.Sprintf("the change id %q was used for another change at %s", change.ID, previous.At.UTC().Format(time.RFC3339)))
	}
	answer := c.decide(change)
	if change.Now.After(c.latestTime) {
		c.latestTime = change.Now
	}
	c.keepAnswer(recordedAnswer{ID: change.ID, Digest: digest, At: c.latestTime, Answer: answer})
	return answer
}

// decide applies a change that is not a retry, or rejects it.
func (c *configuration) decide(change Change) ChangeResult {
	if change.Expected != c.revision {
		answer := c.answer(VerdictConflict, fmt.Sprintf("revision %d is in force, not %d", c.revision, change.Expected))
		for _, a := range slices.Backward(c.recentChanges) {
			if a.Revision > change.Expected {
				answer.ChangesSince = append(answer.ChangesSince, a)
			}
		}
		return answer
	}
	if change.Preset == "" && len(change.Declarations) == 0 {
		return c.answer(VerdictRefused, "the change changes nothing")
	}
	presets := c.presets
	if len(change.Declarations) > 0 {
		presets = change.Presets
	}
	preset := change.Preset
	if preset == "" {
		preset = c.preset
	}
	if preset == "" && len(presets) > 0 {
		preset = presets[0]
	}
	if !slices.Contains(presets, preset) {
		return c.answer(VerdictRefused, undeclaredPresetReason(preset, presets, change))
	}
	c.revision++
	c.preset = preset
	c.presets = presets
	if len(change.Declarations) > 0 {
		c.declarations = change.Declarations
	}
	c.recentChanges = append(c.recentChanges, AppliedChange{Revision: c.revision, ID: change.ID, By: change.By, Summary: change.Summary, At: change.Now})
	c.recentChanges = c.recentChanges[max(0, len(c.recentChanges)-maxConflictChanges):]
	return c.answer(VerdictApplied, "")
}

// undeclaredPresetReason explains why preset can't come into force.
func undeclaredPresetReason(preset string, presets []string, change Change) string {
	if len(presets) == 0 {
		return "there are no declarations yet, so there is no preset"
	}
	if change.Preset == "" {
		return fmt.Sprintf("the declarations no longer declare %q, the preset in force; name another of %q in the same change", preset, presets)
	}
	return fmt.Sprintf("preset %q is none of the declared ones %q", preset, presets)
}

// answer returns an answer with the current revision and preset.
func (c *configuration) answer(verdict Verdict, reason string) ChangeResult {
	return ChangeResult{Verdict: verdict, Revision: c.revision, Preset: c.preset, Reason: reason}
}

// keepAnswer records an answer and drops the oldest ones beyond the retention
// limits.
func (c *configuration) keepAnswer(a recordedAnswer) {
	c.answers = append(c.answers, a)
	c.answersByID[a.ID] = a
	for len(c.answers) > maxKeptAnswers || c.answers[0].At.Add(answerRetention).Before(c.latestTime) {
		delete(c.answersByID, c.answers[0].ID)
		c.answers[0] = recordedAnswer{}
		c.answers = c.answers[1:]
	}
}

// configurationSnapshot is the snapshot encoding of a configuration.
type configurationSnapshot struct {
	Revision     Revision         `json:"revision"`
	Preset       string           `json:"preset"`
	Presets      []string         `json:"presets"`
	Declarations []byte           `json:"declarations"`
	Applied      []AppliedChange  `json:"applied"`
	Answers      []recordedAnswer `json:"answers"`
	Latest       time.Time        `json:"latest"`
}

func (c *configuration) snapshot() configurationSnapshot {
	return configurationSnapshot{
		Revision: c.revision, Preset: c.preset, Presets: c.presets, Declarations: c.declarations,
		Applied: c.recentChanges, Answers: c.answers, Latest: c.latestTime,
	}
}

func (s configurationSnapshot) restore() *configuration {
	c := &configuration{
		revision: s.Revision, preset: s.Preset, presets: s.Presets, declarations: s.Declarations,
		recentChanges: s.Applied, answers: s.Answers, latestTime: s.Latest, answersByID: make(map[string]recordedAnswer, len(s.Answers)),
	}
	for _, a := range s.Answers {
		c.answersByID[a.ID] = a
	}
	return c
}
