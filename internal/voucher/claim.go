package voucher

import (
	"context"
	"time"

	"github.com/lovagelift/lovagelift/internal/docket"
)

// Request is a non-idempotent request with a key.
type Request struct {
	Key         docket.Key
	Fingerprint docket.Fingerprint
	// Timeout is how long the request may take, from now until its outcome is
	// recorded.
	Timeout time.Duration
	// Wait is how long to wait for the outcome if the request is being run for
	// another caller.
	Wait time.Duration
}

// Claim asks for the right to send request. It returns at the latest when ctx
// ends or, after the claim was decided, when Request.Wait has passed.
func (o *Office) Claim(ctx context.Context, request Request) Decision {
	giveUp := o.options.Now().Add(request.Wait)
	poll := firstPoll
	for {
		decision, wait := o.claimOnce(ctx, request)
		if decision != nil {
			return decision
		}
		for {
			left := giveUp.Sub(o.options.Now())
			if left <= 0 || !o.sleep(ctx, min(poll, left)) {
				return InProgress{RetryAfter: wait}
			}
			poll = min(2*poll, lastPoll)
			answer, err := o.options.Chamber.Lookup(ctx, request.Key)
			if err != nil {
				continue
			}
			if answer.Verdict != docket.VerdictInProgress {
				// Done, or given up, so that the key can be claimed again.
				break
			}
			wait = answer.Wait
		}
	}
}

// claimOnce proposes one claim. If the request is in progress elsewhere,
// claimOnce returns nil and the longest time until that ends.
func (o *Office) claimOnce(ctx context.Context, request Request) (Decision, time.Duration) {
	claim := docket.Claim{
		Key:         request.Key,
		Fingerprint: request.Fingerprint,
		Timeout:     request.Timeout,
		Claimant: docket.Claimant{
			Instance:    o.options.Instance,
			Incarnation: o.options.Incarnation,
			Request:     o.request.Add(1),
		},
	}
	deadline := o.options.Now().Add(request.Timeout)
	result, err := o.options.Chamber.Propose(ctx, claim)
	if err != nil {
		return o.refuse(claim, err), 0
	}
	answer := *result.Docket
	switch answer.Verdict {
	case docket.VerdictGranted:
		return o.grant(claim, answer, deadline), 0
	case docket.VerdictInProgress:
		return nil, answer.Wait
	case docket.VerdictCompleted:
		return Recorded{Response: answer.Response}, 0
	case docket.VerdictMismatch:
		return Mismatch{}, 0
	case docket.VerdictFull:
		return Refused{Reason: "there is no room for another idempotency record", RetryAfter: answer.Wait}, 0
	default:
		return Unknown{}, 0
	}
}

// refuse gives up a claim that got no answer. The claim may still be committed;
// a record that it was not run frees the key then.
func (o *Office) refuse(claim docket.Claim, err error) Decision {
	if !o.options.NotAccepted(err) {
		o.enqueue(docket.Record{
			Key:         claim.Key,
			Claimant:    claim.Claimant,
			Fingerprint: claim.Fingerprint,
			State:       docket.StateNotRun,
		})
	}
	return Refused{Reason: "the request could not be claimed: " + err.Error(), RetryAfter: o.options.RetryAfter}
}

func (o *Office) grant(claim docket.Claim, answer docket.Answer, deadline time.Time) Decision {
	v := &Voucher{
		office:   o,
		deadline: deadline,
		record: docket.Record{
			Key:         claim.Key,
			Claimant:    claim.Claimant,
			Attempt:     answer.Attempt,
			Fingerprint: claim.Fingerprint,
		},
	}
	if !v.MaySend(o.options.Now()) {
		v.NotRun()
		return Refused{Reason: "the claim took longer than the request may", RetryAfter: o.options.RetryAfter}
	}
	return Granted{Voucher: v}
}
