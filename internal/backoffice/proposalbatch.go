package backoffice

import (
	"context"
	"sync"
)

// proposalBatch collects updates of the replicated state that are proposed together. It is safe for
// concurrent use, except that one goroutine calls awaitUpdates and flush. Use newProposalBatch.
type proposalBatch[T any] struct {
	join func(T, T) T

	mu sync.Mutex
	// update joins the updates that are not proposed yet.
	update T
	// waiters receive whether the update was recorded.
	waiters []chan bool
	// wake holds a token if the update may be non-empty.
	wake chan struct{}
}

// newProposalBatch returns an empty batch. join returns the update that has the effect of both, and
// the zero value of T has none.
func newProposalBatch[T any](join func(T, T) T) proposalBatch[T] {
	return proposalBatch[T]{join: join, wake: make(chan struct{}, 1)}
}

// record adds an update, waits until it is recorded, and reports whether it is.
func (b *proposalBatch[T]) record(ctx context.Context, update T) bool {
	recorded := make(chan bool, 1)
	b.mu.Lock()
	b.update = b.join(b.update, update)
	b.waiters = append(b.waiters, recorded)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case ok := <-recorded:
		return ok
	case <-ctx.Done():
		return false
	}
}

// awaitUpdates waits until there may be updates. It returns false once ctx has ended.
func (b *proposalBatch[T]) awaitUpdates(ctx context.Context) bool {
	select {
	case <-b.wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// flush proposes the updates and tells those who wait for them whether they are recorded.
func (b *proposalBatch[T]) flush(propose func(T) bool) {
	b.mu.Lock()
	update, waiters := b.update, b.waiters
	var none T
	b.update, b.waiters = none, nil
	b.mu.Unlock()
	if len(waiters) == 0 {
		return
	}
	ok := propose(update)
	for _, recorded := range waiters {
		recorded <- ok
	}
}
