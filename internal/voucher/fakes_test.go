package voucher_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/registry"
)

var (
	errNotAccepted = errors.New("not accepted")
	errLost        = errors.New("the answer was lost")
)

// mood is how the fake chamber treats a proposal.
type mood int

const (
	willing mood = iota
	// refusing carries nothing out.
	refusing
	// losing carries proposals out and loses the answers.
	losing
	// delaying carries proposals out only when deliver is called, and says that
	// the answers were lost.
	delaying
)

// chamber is the replicated state, in memory.
type chamber struct {
	mutex    sync.Mutex
	registry *registry.Registry
	index    jury.Index
	mood     mood
	delayed  []registry.Command
	refusals atomic.Int64
	// before is called for each claim before it is carried out, if not nil.
	before func()
}

func newChamber() *chamber {
	return &chamber{registry: registry.New()}
}

func (c *chamber) set(m mood) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.mood = m
}

func (c *chamber) Propose(ctx context.Context, command registry.Command) (registry.Result, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if ctx.Err() != nil {
		return registry.Result{}, ctx.Err()
	}
	if _, ok := command.(docket.Claim); ok && c.before != nil {
		c.before()
	}
	switch c.mood {
	case refusing:
		c.refusals.Add(1)
		return registry.Result{}, errNotAccepted
	case losing:
		c.apply(command)
		return registry.Result{}, errLost
	case delaying:
		c.delayed = append(c.delayed, command)
		return registry.Result{}, errLost
	default:
		return c.apply(command), nil
	}
}

func (c *chamber) apply(command registry.Command) registry.Result {
	data, err := registry.Encode(command)
	if err != nil {
		panic(err)
	}
	c.index++
	result, err := c.registry.Apply(c.index, data)
	if err != nil {
		panic(err)
	}
	return result
}

// deliver carries out what was delayed.
func (c *chamber) deliver() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, command := range c.delayed {
		c.apply(command)
	}
	c.delayed = nil
}

func (c *chamber) Lookup(_ context.Context, key docket.Key) (docket.Answer, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.mood == refusing {
		return docket.Answer{}, errNotAccepted
	}
	return c.registry.Lookup(key), nil
}

// clock is a time that only the test moves. Whoever sleeps moves it on.
type clock struct {
	mutex sync.Mutex
	now   time.Time
}

func newClock() *clock {
	return &clock{now: time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)}
}

func (c *clock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *clock) pass(d time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = c.now.Add(d)
}

func (c *clock) After(d time.Duration) <-chan time.Time {
	c.pass(d)
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}
