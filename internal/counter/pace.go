package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/routes"
)

// An engine reads prompts between the tokens of the answers that it makes: a
// token takes as long as the prompts that came meanwhile. If many come at once,
// all streams of the engine pause. Under a load that the engines can carry easily,
// 40 in 100 streams had a pause above the 250 ms that callers bear, since the
// arrivals of a quarter of a second fell on one engine by chance. So each engine
// gets prompts one after the other, as fast as it reads them.

const (
	// readRate is the prompt tokens that an engine reads in a second, by the users'
	// sheets.
	readRate = 25_800
	// stepTime is about what a step takes beside the reading, with thirty requests
	// in the batch.
	stepTime = 10 * time.Millisecond
	// paceMargin is left of a pause for the way to the caller and for what other
	// instances have sent at the same moment.
	paceMargin = 30 * time.Millisecond
	// defaultGap is the longest pause where no route names one.
	defaultGap = 250 * time.Millisecond
	// assumedStride is how many tokens an event holds if nothing is known.
	assumedStride = 3
)

// pace is how fast an engine gets prompts.
type pace struct {
	// rate is in prompt tokens a second.
	rate float64
	// slack is how many tokens may be unread when the next prompt comes.
	slack float64
}

// slackTime is how long an engine reads what it has when the next prompt comes. It
// covers the way there and the time that instances wait for each other; if it were
// longer, two large prompts would meet in one pause.
const slackTime = 20 * time.Millisecond

// paceOf returns the pace for the engines of a service whose streams may pause
// for gap.
func paceOf(gap time.Duration, spec *routes.Engine) pace {
	if gap <= 0 {
		gap = defaultGap
	}
	stride := assumedStride
	if spec != nil && spec.Stride > 0 {
		stride = spec.Stride
	}
	reading := gap - time.Duration(stride)*stepTime - paceMargin
	rate := readRate * reading.Seconds() / gap.Seconds()
	return pace{rate: rate, slack: rate * slackTime.Seconds()}
}

// backlog is the prompt tokens that an engine has not read yet, by what instances
// have sent it.
type backlog struct {
	tokens float64
	at     time.Time
	rate   float64
}

// add counts a prompt that is sent at now.
func (b *backlog) add(now time.Time, tokens int, p pace) {
	b.tokens, b.at, b.rate = b.left(now)+float64(tokens), now, p.rate
}

// left returns what is unread at now.
func (b *backlog) left(now time.Time) float64 {
	return max(b.tokens-b.rate*now.Sub(b.at).Seconds(), 0)
}

// below returns since when no more than tokens are unread.
func (b *backlog) below(tokens float64) time.Time {
	if b.tokens <= tokens {
		return b.at
	}
	return b.at.Add(time.Duration((b.tokens - tokens) / b.rate * float64(time.Second)))
}
