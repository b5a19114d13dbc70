package registry

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxAnswers bounds the answers kept for changes that are sent again. At
	// 1,000 changes a day they last ten days.
	maxAnswers = 10_000
	// answerAge is how long an answer is kept. Losing one is harmless, as its
	// change expects a revision that is no longer in force.
	answerAge = 30 * 24 * time.Hour
	// maxSince bounds the changes that a conflict lists.
	maxSince = 8
)

// configuration is the replicated configuration.
type configuration struct {
	revision     Revision
	preset       string
	presets      []string
	declarations []byte
	// applied are the last maxSince changes that came into force, oldest first.
	applied []Applied
	// answers are what changes were answered, oldest first.
	answers []answered
	// byID holds the same answers.
	byID map[string]answered
	// latest is the latest Change.Now.
	latest time.Time
}

// answered is the first answer to a change.
type answered struct {
	ID     string    `json:"id"`
	Digest string    `json:"digest"`
	At     time.Time `json:"at"`
	Answer Answer    `json:"answer"`
}

func newConfiguration() *configuration {
	return &configuration{byID: map[string]answered{}}
}

// apply decides a change. A change that was decided before gets its first
// answer again.
func (c *configuration) apply(change Change) Answer {
	digest := change.digest()
	if first, ok := c.byID[change.ID]; ok {
		if first.Digest == digest {
			return first.Answer
		}
		return c.answer(VerdictReused, fmt.Sprintf("the change id %q was used for another change at %s", change.ID, first.At.UTC().Format(time.RFC3339)))
	}
	answer := c.decide(change)
	if change.Now.After(c.latest) {
		c.latest = change.Now
	}
	c.remember(answered{ID: change.ID, Digest: digest, At: c.latest, Answer: answer})
	return answer
}

func (c *configuration) decide(change Change) Answer {
	if change.Expected != c.revision {
		answer := c.answer(VerdictConflict, fmt.Sprintf("revision %d is in force, not %d", c.revision, change.Expected))
		for _, a := range slices.Backward(c.applied) {
			if a.Revision > change.Expected {
				answer.Since = append(answer.Since, a)
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
		return c.answer(VerdictRefused, notDeclared(preset, presets, change))
	}
	c.revision++
	c.preset = preset
	c.presets = presets
	if len(change.Declarations) > 0 {
		c.declarations = change.Declarations
	}
	c.applied = append(c.applied, Applied{Revision: c.revision, ID: change.ID, By: change.By, Summary: change.Summary, At: change.Now})
	c.applied = c.applied[max(0, len(c.applied)-maxSince):]
	return c.answer(VerdictApplied, "")
}

func notDeclared(preset string, presets []string, change Change) string {
	if len(presets) == 0 {
		return "there are no declarations yet, so there is no preset"
	}
	if change.Preset == "" {
		return fmt.Sprintf("the declarations no longer declare %q, the preset in force; name another of %q in the same change", preset, presets)
	}
	return fmt.Sprintf("preset %q is none of the declared ones %q", preset, presets)
}

func (c *configuration) answer(verdict Verdict, reason string) Answer {
	return Answer{Verdict: verdict, Revision: c.revision, Preset: c.preset, Reason: reason}
}

// remember keeps an answer and drops those that are too old or too many.
func (c *configuration) remember(a answered) {
	c.answers = append(c.answers, a)
	c.byID[a.ID] = a
	for len(c.answers) > maxAnswers || c.answers[0].At.Add(answerAge).Before(c.latest) {
		delete(c.byID, c.answers[0].ID)
		c.answers[0] = answered{}
		c.answers = c.answers[1:]
	}
}

// configurationState is configuration in a snapshot.
type configurationState struct {
	Revision     Revision   `json:"revision"`
	Preset       string     `json:"preset"`
	Presets      []string   `json:"presets"`
	Declarations []byte     `json:"declarations"`
	Applied      []Applied  `json:"applied"`
	Answers      []answered `json:"answers"`
	Latest       time.Time  `json:"latest"`
}

func (c *configuration) state() configurationState {
	return configurationState{
		Revision: c.revision, Preset: c.preset, Presets: c.presets, Declarations: c.declarations,
		Applied: c.applied, Answers: c.answers, Latest: c.latest,
	}
}

func (s configurationState) restore() *configuration {
	c := &configuration{
		revision: s.Revision, preset: s.Preset, presets: s.Presets, declarations: s.Declarations,
		applied: s.Applied, answers: s.Answers, latest: s.Latest, byID: make(map[string]answered, len(s.Answers)),
	}
	for _, a := range s.Answers {
		c.byID[a.ID] = a
	}
	return c
}
