// Package fairshare divides a capacity between workspaces by weighted start-time fair queueing.
//
// Each workspace has a virtual use: the engine time that it was granted lately, over its weight.
// Each waiting request has a virtual start, which is the virtual use of its workspace plus the cost
// of the workspace's requests before it. While requests wait, those with the lowest virtual start
// are served first, so that the shares of the workspaces converge to weighted max-min fairness. A
// share that is not used goes to the others and is reclaimed with the next request.
//
// The package is pure: it takes the present time as an argument and does no I/O.
package fairshare

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/decay"
)

// Options configures a Scheduler. All fields must be above 0.
type Options struct {
	// HalfLife is the time in which the recorded use decays to half.
	HalfLife time.Duration
	// ForgetAfter is the time without a grant after which a workspace is forgotten.
	ForgetAfter time.Duration
	// MaxWorkspaces is the largest number of workspaces with an account of their own. Further ones
	// share the account of requests without a workspace.
	MaxWorkspaces int
}

const (
	// minWeight and maxWeight bound the weights, so that a virtual use is always finite.
	minWeight = 1e-3
	maxWeight = 1e3
	// minCost is charged at least, so that requests of unknown size count.
	minCost = time.Millisecond
	// expiryInterval is the time between two scans for accounts to forget.
	expiryInterval = time.Second
)

// Claim is what a request asks of the capacity.
type Claim struct {
	// Workspace is empty if the request has none.
	Workspace string
	// Weight is that of the workspace. A weight that is not above 0 counts as 1.
	Weight float64
	// Cost is the engine time that the request is expected to take.
	Cost time.Duration
}

func (c Claim) weight() float64 {
	if !(c.Weight > 0) {
		return 1
	}
	return min(max(c.Weight, minWeight), maxWeight)
}

func (c Claim) seconds() float64 {
	return max(c.Cost, minCost).Seconds()
}

// Entry is the lowest virtual start at the time when a request began to wait. It is a lower bound
// of the request's own one, so that a workspace accumulates no credit while it is idle.
type Entry struct {
	start float64
	at    time.Duration
}

// Scheduler orders the requests that wait for one capacity. It is not safe for concurrent use.
type Scheduler struct {
	options Options
	// clock is the time that has passed since the Scheduler was created, without steps back of the
	// clock, and now the latest time that was passed to it.
	clock      time.Duration
	now        time.Time
	lastExpiry time.Duration
	// accounts has at most options.MaxWorkspaces elements beside the one of the empty name.
	accounts map[string]account
	// granted is the sum of the accounts' granted, as of grantedAt, and weights that of their weights.
	granted   float64
	grantedAt time.Duration
	weights   float64
	// waiting holds the virtual finish of each workspace's last request in the present order, and
	// waitingWeights is the sum of their weights.
	waiting        map[string]float64
	waitingWeights float64
	// lowest is the lowest virtual start in the present order, or in the last one that had any.
	lowest Entry
}

// account is the use of one workspace.
type account struct {
	// virtual is the virtual use, and granted the engine time in seconds that was granted. Both
	// decay, and are as of at.
	virtual float64
	granted float64
	weight  float64
	at      time.Duration
}

// New returns a Scheduler without any use.
func New(options Options) *Scheduler {
	return &Scheduler{options: options, accounts: map[string]account{}, waiting: map[string]float64{}}
}

// advance moves the clock forward. If now is before an earlier time, no time has passed.
func (s *Scheduler) advance(now time.Time) {
	if s.now.IsZero() {
		s.now = now
	}
	s.clock += max(now.Sub(s.now), 0)
	s.now = now
	if s.clock-s.lastExpiry >= expiryInterval {
		s.expire()
	}
}

// expire forgets the workspaces without a recent grant.
func (s *Scheduler) expire() {
	s.lastExpiry = s.clock
	s.weights = 0
	for name, known := range s.accounts {
		if s.clock-known.at > s.options.ForgetAfter {
			delete(s.accounts, name)
			continue
		}
		s.weights += known.weight
	}
}

// decayed returns what is left of a value as of an earlier time of the clock.
func (s *Scheduler) decayed(value float64, at time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * decay.HalfLife(s.clock-at, s.options.HalfLife)
}

// accountName returns the name of the account to which a workspace's requests are charged.
func (s *Scheduler) accountName(workspace string) string {
	if _, found := s.accounts[workspace]; found || len(s.accounts) < s.options.MaxWorkspaces {
		return workspace
	}
	return ""
}

// Enter returns the Entry of a request that begins to wait.
func (s *Scheduler) Enter(now time.Time) Entry {
	s.advance(now)
	return Entry{start: s.decayed(s.lowest.start, s.lowest.at), at: s.clock}
}

// Begin begins a new order of the waiting requests, which are then passed to Start.
func (s *Scheduler) Begin(now time.Time) {
	s.advance(now)
	clear(s.waiting)
	s.waitingWeights = 0
}

// Start returns the virtual start of a waiting request. The requests of one workspace must be
// passed in the order in which they are to be served.
func (s *Scheduler) Start(entry Entry, claim Claim) float64 {
	name := s.accountName(claim.Workspace)
	start, found := s.waiting[name]
	if !found {
		known := s.accounts[name]
		start = s.decayed(known.virtual, known.at)
		s.waitingWeights += claim.weight()
	}
	start = max(start, s.decayed(entry.start, entry.at))
	if len(s.waiting) == 0 || start < s.lowest.start {
		s.lowest = Entry{start: start, at: s.clock}
	}
	s.waiting[name] = start + claim.seconds()/claim.weight()
	return start
}

// Contended reports whether requests of several workspaces were passed to Start since Begin.
func (s *Scheduler) Contended() bool {
	return len(s.waiting) > 1
}

// Charge records that a request with the given virtual start was granted its cost.
func (s *Scheduler) Charge(now time.Time, start float64, claim Claim) {
	s.advance(now)
	name := s.accountName(claim.Workspace)
	known := s.accounts[name]
	s.weights += claim.weight() - known.weight
	s.accounts[name] = account{
		virtual: max(s.decayed(known.virtual, known.at), start) + claim.seconds()/claim.weight(),
		granted: s.decayed(known.granted, known.at) + claim.seconds(),
		weight:  claim.weight(),
		at:      s.clock,
	}
	s.granted, s.grantedAt = s.decayed(s.granted, s.grantedAt)+claim.seconds(), s.clock
}

// Use is the use of a workspace.
type Use struct {
	// Granted is the workspace's part of the engine time granted lately, and Entitled the part that
	// it is granted at least while all workspaces wait that were granted any.
	Granted  float64
	Entitled float64
	// Available is the part that it can expect now: of the waiting workspaces by their weights, or
	// what it was granted if that is more.
	Available float64
}

// Relative returns the use over the weight, relative to the mean of all workspaces.
func (u Use) Relative() float64 {
	if u.Entitled <= 0 {
		return 0
	}
	return u.Granted / u.Entitled
}

// Use returns the use of the workspace of a claim.
func (s *Scheduler) Use(now time.Time, claim Claim) Use {
	s.advance(now)
	name := s.accountName(claim.Workspace)
	known, weight := s.accounts[name], claim.weight()
	use := Use{Entitled: weight / max(s.weights-known.weight+weight, weight)}
	if total := s.decayed(s.granted, s.grantedAt); total > 0 {
		use.Granted = min(s.decayed(known.granted, known.at)/total, 1)
	}
	others := s.waitingWeights
	if _, waits := s.waiting[name]; !waits {
		others += weight
	}
	use.Available = max(use.Granted, weight/max(others, weight))
	return use
}

// Idle reports whether all workspaces are forgotten.
func (s *Scheduler) Idle(now time.Time) bool {
	s.advance(now)
	return len(s.accounts) == 0
}
