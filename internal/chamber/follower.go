package chamber

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// Follower is the part of an instance that is no voter. It keeps nothing on
// disk: it admits work only once a voter has confirmed the configuration.
type Follower struct {
	options Options
	gazette *gazette.Gazette

	mu sync.Mutex
	// asOf is the latest time at which all that was in force is in the gazette.
	// It never goes back.
	asOf time.Time
	// cluster is the one followed, empty until the first answer.
	cluster string
	// next is the voter to ask first.
	next int
	// news are of requests in quarantine, as of newsAt.
	news   quarantine.News
	newsAt time.Time

	stop context.CancelFunc
	done sync.WaitGroup
}

// NewFollower returns a Follower that has started to follow.
func NewFollower(options Options) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{options: options, gazette: gazette.New(), stop: cancel}
	f.done.Go(func() { f.follow(ctx) })
	return f
}

// Gazette returns what holds the configuration in force.
func (f *Follower) Gazette() *gazette.Gazette {
	return f.gazette
}

// Identity returns nothing: a follower is no voter.
func (f *Follower) Identity() jury.Identity {
	return ""
}

// Leader returns nothing: a follower asks any voter.
func (f *Follower) Leader() (jury.Identity, jury.Term) {
	return "", 0
}

// Fresh tells whether the follower holds its configuration lease.
func (f *Follower) Fresh(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.asOf.IsZero() && now.Sub(f.asOf) < f.options.Lease
}

// Close stops following.
func (f *Follower) Close(context.Context) {
	f.stop()
	f.done.Wait()
}

func (f *Follower) follow(ctx context.Context) {
	ticker := time.NewTicker(f.options.RenewEvery)
	defer ticker.Stop()
	for {
		f.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// renew asks the voters in turn until one confirms.
func (f *Follower) renew(ctx context.Context) {
	for range f.options.Voters {
		voter := f.voter()
		asked := f.options.Now()
		answer, err := f.options.Calls.Configuration(ctx, voter.InnerAddress, f.gazette.Latest().Revision, f.newsMark())
		if err == nil {
			err = f.take(asked, answer)
		}
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			return
		}
		f.options.Log.Debug().Err(err).Str("voter", voter.Name).Msg("configuration not confirmed")
		f.skip(voter)
	}
}

// take puts a voter's answer into force.
//
// The freshness counts back from the moment of asking: an answer that was held
// up on its way would otherwise prolong the lease by as long, and the instance
// would go on under a configuration that was replaced meanwhile.
func (f *Follower) take(asked time.Time, answer courier.Configuration) error {
	if err := f.join(answer.Cluster); err != nil {
		return err
	}
	if answer.View != nil {
		if err := f.gazette.Publish(answer.View); err != nil {
			return err
		}
	}
	if !answer.Confirmed {
		return errors.New("chamber: the voter itself is not up to date")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if answer.Quarantine != nil {
		f.news, f.newsAt = *answer.Quarantine, asked
	}
	if asOf := asked.Add(-answer.Age); asOf.After(f.asOf) {
		f.asOf = asOf
	}
	return nil
}

// newsMark returns the mark of the news of requests in quarantine.
func (f *Follower) newsMark() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.news.Mark
}

// Quarantine returns what a voter told last of requests in quarantine.
func (f *Follower) Quarantine(now time.Time) quarantine.News {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.news.Aged(now.Sub(f.newsAt))
}

// join holds the follower to the first cluster it heard of. After all voters
// lost their disks and a new cluster was founded, the follower's configuration
// would go back to the beginning, which is what must never happen unnoticed: it
// stays stale until an operator restarts it.
func (f *Follower) join(cluster string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case cluster == "":
		return errors.New("chamber: the voter belongs to no cluster yet")
	case f.cluster == "":
		f.cluster = cluster
	case f.cluster != cluster:
		return errors.Newf("chamber: the voter belongs to cluster %s, this instance to %s; restart it to follow the other",
			cluster, f.cluster)
	}
	return nil
}

func (f *Follower) voter() VoterAddress {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.options.Voters[f.next%len(f.options.Voters)]
}

// skip makes the voter after this one the first to ask.
func (f *Follower) skip(voter VoterAddress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.options.Voters[f.next%len(f.options.Voters)] == voter {
		f.next++
	}
}

// tryTimeout bounds one try of a proposal or look-up, so that a voter that went
// silent leaves time to ask another.
const tryTimeout = time.Second

// Propose asks the voters in turn until the command's fate is known or ctx ends.
//
// Commands carry an idempotent identity, so one whose fate is open may be
// proposed again and counts once.
func (f *Follower) Propose(ctx context.Context, command registry.Command) (registry.Result, error) {
	data, err := registry.Encode(command)
	if err != nil {
		return registry.Result{}, errors.Mark(err, ErrNotAccepted)
	}
	open := false
	for {
		proposed := f.proposeOnce(ctx, data)
		switch {
		case proposed.Fate == courier.FateCarriedOut:
			return registry.DecodeResult(proposed.Result)
		case proposed.Fate == courier.FateUnknown:
			open = true
		case !proposed.Passing && !open:
			return registry.Result{}, errorOf(proposed)
		}
		if !pause.For(ctx, retryEvery) {
			if open {
				proposed.Fate = courier.FateUnknown
			}
			return registry.Result{}, errorOf(proposed)
		}
	}
}

func (f *Follower) proposeOnce(ctx context.Context, data []byte) courier.Proposed {
	voter := f.voter()
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	proposed := f.options.Calls.Propose(ctx, voter.InnerAddress, data, false)
	if proposed.Fate != courier.FateCarriedOut {
		f.skip(voter)
	}
	return proposed
}

// Lookup asks the voters in turn until one confirms its answer or ctx ends.
func (f *Follower) Lookup(ctx context.Context, key docket.Key) (docket.Answer, error) {
	for {
		recorded, err := f.lookupOnce(ctx, key)
		if err == nil && recorded.Known {
			return recorded.Answer, nil
		}
		if !pause.For(ctx, retryEvery) {
			return docket.Answer{}, errors.CombineErrors(err, errors.New("chamber: no voter could confirm the answer"))
		}
	}
}

func (f *Follower) lookupOnce(ctx context.Context, key docket.Key) (courier.Recorded, error) {
	voter := f.voter()
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	recorded, err := f.options.Calls.Lookup(ctx, voter.InnerAddress, key)
	if err != nil || !recorded.Known {
		f.skip(voter)
	}
	return recorded, err
}

// ChangeVoters asks the voters in turn until one of them leads and has done it.
func (f *Follower) ChangeVoters(ctx context.Context, change courier.VotersChange) error {
	proposed := courier.Proposed{Fate: courier.FateNotAccepted, Reason: "the settings name no voter"}
	for _, voter := range f.options.Voters {
		proposed = f.options.Calls.ChangeVoters(ctx, voter.InnerAddress, change)
		if proposed.Fate != courier.FateNotAccepted || !proposed.Passing {
			break
		}
	}
	return errorOf(proposed)
}
