package dispatch

import (
	"math"
	"time"

	"github.com/lovagelift/lovagelift/internal/admission"
)

// upstream is what the Dispatcher keeps of one incarnation of an upstream.
type upstream struct {
	view View
	// id is never used again, so that what a cache held before a restart is not
	// taken for what it holds now.
	id uint32
	// remote says that it is in another failure domain than this instance.
	remote bool
	// pools are those it is a member of, in step with view.
	pools []*pool
	// poolNames are the names of pools.
	poolNames []string
	trail     trail
	// inFlight counts this instance's open requests, by priority as well.
	inFlight   int
	byPriority [admission.Priorities]int
	limit      admission.Limit
	// unanswered is the number of prompt tokens of this instance's open requests
	// that have no first token yet.
	unanswered int
	// instances is the number of instances that share the upstream.
	instances int
	health    health
	// bias is the moving mean of observed to predicted time to the first token.
	bias float64
	// hold is the moving mean of a request's time from its first token to its end,
	// in seconds, 0 before the first end.
	hold float64
	// base is about the least time to a first token beside the prefill, in seconds.
	// It is 0 and answered is false before the first.
	base     float64
	answered bool
	// answer is the moving mean of the time to first token, in seconds, 0 before
	// the first answer. It predicts plain services, which report no speeds.
	answer float64
	// doubtUntil is when the cache events are trusted in full again.
	doubtUntil time.Time
	// nextEvent is the number of the next cache event, 0 before the first batch.
	nextEvent uint64
}

// pool holds the upstreams that can run one target.
type pool struct {
	target  Target
	name    string
	members []*upstream
}

func (p *pool) remove(u *upstream) {
	for i, m := range p.members {
		if m == u {
			last := len(p.members) - 1
			p.members[i] = p.members[last]
			p.members[last] = nil
			p.members = p.members[:last]
			return
		}
	}
}

// memberOf reports whether u can run the target of p.
func (u *upstream) memberOf(p *pool) bool {
	for _, own := range u.pools {
		if own == p {
			return true
		}
	}
	return false
}

// alive reports whether u may be given new work at all.
func (u *upstream) alive(now time.Time) bool {
	return !u.view.Leaving && now.Before(u.view.LeaseUntil)
}

// reportDecay is about how long a report says much: within it, a batch and a queue
// of prompts turn over in part.
const reportDecay = 300 * time.Millisecond

// trusted returns the weight of the last report, from 1 for a new one towards 0.
func (u *upstream) trusted(now time.Time) float64 {
	age := max(now.Sub(u.view.LoadAt), 0)
	return math.Exp(-float64(age) / float64(reportDecay))
}

// outstanding returns the estimated number of requests at the upstream, whoever
// sent them: the corrected report as far as it is trusted, and for the rest this
// instance's own count taken for a fair sample of what all instances have there.
func (u *upstream) outstanding(now time.Time) int {
	trusted := u.trusted(now)
	reported := u.view.Load.Running + u.view.Load.Waiting + u.trail.requests
	sampled := min(u.inFlight*u.instances, u.places()+u.inFlight)
	mixed := trusted*float64(reported) + (1-trusted)*float64(sampled)
	return max(int(math.Round(mixed)), u.inFlight, 0)
}

// waitingTokens returns the estimated number of prompt tokens that the upstream
// has yet to prefill.
func (u *upstream) waitingTokens(now time.Time) float64 {
	trusted := u.trusted(now)
	reported := u.view.Load.WaitingPromptTokens + u.trail.promptTokens
	mixed := trusted*float64(reported) + (1-trusted)*float64(u.unanswered)
	return max(mixed, float64(u.unanswered))
}

// places returns the most requests that the upstream runs at once.
func (u *upstream) places() int {
	if places := u.view.Load.MaxRunning; places > 0 {
		return places
	}
	return assumedRunning
}

// notAfter returns the share of this instance's open requests whose priority is
// not lower than priority: engines let them go before. It is drawn towards 1 if
// this instance has few open, which say little of what others have there.
func (u *upstream) notAfter(priority uint8) float64 {
	const prior = 2
	count := prior
	for i := 0; i <= level(priority); i++ {
		count += u.byPriority[i]
	}
	return float64(count) / float64(max(u.inFlight, 0)+prior)
}

func level(priority uint8) int {
	return min(int(priority), admission.Priorities-1)
}
