package dispatch

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Assumed values of figures that an upstream doesn't report.
const (
	assumedPrefillTokensPerSecond = 8000.0
	assumedMaxRunning             = 32
	assumedDecodeSeconds          = 4.0
	assumedServiceSeconds         = 0.005
	assumedTokenInterval          = 20 * time.Millisecond
)

// prediction holds the predicted times of one request at one upstream.
type prediction struct {
	// firstTokenSeconds is the time to the first token.
	firstTokenSeconds float64
	tokenInterval     time.Duration
}

// predict returns the prediction for a request with promptTokens tokens to prefill. The
// prediction is for the time when finishedRequests of the current requests at u have
// finished.
//
// An engine with a free slot prefills the request after the prompts ahead of it. A full
// engine first has to finish as many requests as exceed its slots. It finishes
// maxRunning/expectedDecodeSeconds requests per second.
func (u *upstream) predict(now time.Time, promptTokens int, priority uint8, finishedRequests int) prediction {
	requests := max(u.estimatedRequests(now)-finishedRequests, 0)
	if u.view.Kind == upstreamapi.KindService {
		return u.predictService(requests)
	}
	maxRunning := u.maxRunning()
	shareAhead := u.shareAtOrAbove(priority)
	seconds := (u.estimatedWaitingTokens(now)*shareAhead + float64(promptTokens)) / u.prefillTokensPerSecond()
	if excess := requests + 1 - maxRunning; excess > 0 {
		seconds += float64(excess) * shareAhead * u.expectedDecodeSeconds() / float64(maxRunning)
	}
	return prediction{
		firstTokenSeconds: seconds * u.bias,
		tokenInterval:     u.predictTokenInterval(min(requests+1, maxRunning), maxRunning),
	}
}

// idleFirstTokenSeconds returns the predicted time to the first token if u runs no other
// request.
func (u *upstream) idleFirstTokenSeconds(promptTokens int) float64 {
	return u.prefillSeconds(promptTokens) + u.overheadSeconds
}

// prefillSeconds returns the predicted prefill time of a prompt, 0 at a plain service.
func (u *upstream) prefillSeconds(promptTokens int) float64 {
	if u.view.Kind == upstreamapi.KindService {
		return 0
	}
	return float64(promptTokens) / u.prefillTokensPerSecond()
}

func (u *upstream) prefillTokensPerSecond() float64 {
	if speed := u.view.Load.PrefillTokensPerSecond; speed > 0 {
		return speed
	}
	return assumedPrefillTokensPerSecond
}

// predictTokenInterval returns the predicted time between tokens for a batch of running
// requests. It assumes linear growth with the batch size, from half the time of a full
// batch. This overestimates for engines with memory-bound decoding.
func (u *upstream) predictTokenInterval(running, maxRunning int) time.Duration {
	load := &u.view.Load
	interval := load.TokenInterval
	if interval <= 0 {
		interval = assumedTokenInterval
	}
	reportedRunning := min(load.Running, maxRunning)
	return time.Duration(float64(interval) * float64(maxRunning+running) / float64(maxRunning+reportedRunning))
}

func (u *upstream) predictService(requests int) prediction {
	responseSeconds := u.firstTokenSeconds
	if responseSeconds <= 0 {
		responseSeconds = assumedServiceSeconds
	}
	maxRunning := max(u.view.Load.MaxRunning, 1)
	rounds := 1 + float64(requests)/float64(maxRunning)
	return prediction{firstTokenSeconds: responseSeconds * rounds}
}

// expectedDecodeSeconds returns the expected time from the first token to the last.
func (u *upstream) expectedDecodeSeconds() float64 {
	if u.decodeSeconds > 0 {
		return u.decodeSeconds
	}
	return assumedDecodeSeconds
}

// cost returns the sum of the predicted times, each divided by its goal. Without a goal for
// the first token, its time in seconds counts. Without a goal for the token interval, the
// interval doesn't count.
func (g Goal) cost(predicted prediction) float64 {
	firstToken := predicted.firstTokenSeconds
	if g.FirstToken > 0 {
		firstToken = predicted.firstTokenSeconds / g.FirstToken.Seconds()
	}
	if g.TokenInterval <= 0 {
		return firstToken
	}
	return firstToken + float64(predicted.tokenInterval)/float64(g.TokenInterval)
}
