package dispatch

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Assumptions for figures that an upstream does not report.
const (
	assumedPrefill  = 8000.0 // tokens per second
	assumedRunning  = 32
	assumedHold     = 4.0   // seconds
	assumedAnswer   = 0.005 // seconds
	assumedInterval = 20 * time.Millisecond
)

// forecast is what is predicted for one request at one upstream.
type forecast struct {
	// firstToken is in seconds.
	firstToken float64
	interval   time.Duration
}

// predict returns the forecast of a request with prompt tokens yet to prefill.
//
// An engine with a free place starts a request after the prompts that wait
// before it. One without must first end as many requests as exceed its places;
// it ends running/hold of them a second.
//
// The forecast is for the time after ended of the outstanding requests have ended.
func (u *upstream) predict(now time.Time, prompt int, priority uint8, ended int) forecast {
	outstanding := max(u.outstanding(now)-ended, 0)
	if u.view.Kind == upstreamapi.KindService {
		return u.predictService(outstanding)
	}
	places := u.places()
	share := u.notAfter(priority)
	seconds := (u.waitingTokens(now)*share + float64(prompt)) / u.prefill()
	if excess := outstanding + 1 - places; excess > 0 {
		seconds += float64(excess) * share * u.holding() / float64(places)
	}
	return forecast{
		firstToken: seconds * u.bias,
		interval:   u.predictInterval(min(outstanding+1, places), places),
	}
}

// idle returns the seconds to the first token at u if nothing else ran there: the
// prefill, and what the fastest answers took beside it.
func (u *upstream) idle(prompt int) float64 {
	return u.prefillTime(prompt) + u.base
}

// prefillTime returns the seconds that a prompt takes, 0 at a plain service.
func (u *upstream) prefillTime(prompt int) float64 {
	if u.view.Kind == upstreamapi.KindService {
		return 0
	}
	return float64(prompt) / u.prefill()
}

func (u *upstream) prefill() float64 {
	if speed := u.view.Load.PrefillTokensPerSecond; speed > 0 {
		return speed
	}
	return assumedPrefill
}

// predictInterval returns the time between tokens with running requests in the
// batch. It takes the time to grow with the batch from one half of that of the
// full batch, which is on the careful side for engines whose decoding is bound
// by memory.
func (u *upstream) predictInterval(running, places int) time.Duration {
	load := &u.view.Load
	interval := load.TokenInterval
	if interval <= 0 {
		interval = assumedInterval
	}
	then := min(load.Running, places)
	return time.Duration(float64(interval) * float64(places+running) / float64(places+then))
}

func (u *upstream) predictService(outstanding int) forecast {
	answer := u.answer
	if answer <= 0 {
		answer = assumedAnswer
	}
	places := max(u.view.Load.MaxRunning, 1)
	rounds := 1 + float64(outstanding)/float64(places)
	return forecast{firstToken: answer * rounds}
}

// holding returns the expected seconds of a request in the batch.
func (u *upstream) holding() float64 {
	if u.hold > 0 {
		return u.hold
	}
	return assumedHold
}

// cost returns the sum of the predicted times as shares of their goals. For a request without goals it is the
// predicted seconds to the first token.
func (g Goal) cost(f forecast) float64 {
	first := f.firstToken
	if g.FirstToken > 0 {
		first = f.firstToken / g.FirstToken.Seconds()
	}
	if g.TokenInterval <= 0 {
		return first
	}
	return first + float64(f.interval)/float64(g.TokenInterval)
}
