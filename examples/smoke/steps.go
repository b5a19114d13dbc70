package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/caller"
	"github.com/lovagelift/lovagelift/internal/pause"
)

// again is the pause between two tries of an operator, or two looks at a state.
const again = 50 * time.Millisecond

// found starts all instances, founds their cluster and applies declarations.
func (d *deployment) found(ctx context.Context) error {
	for _, name := range names {
		if err := d.start(ctx, name); err != nil {
			return err
		}
	}
	if err := d.until(ctx, func() error { return d.command(ctx, []string{"a"}, "voters", "--bootstrap") }); err != nil {
		return err
	}
	err := d.until(ctx, func() error {
		return d.command(ctx, []string{"a"}, "apply", "--expect", "0", d.options.declarations)
	})
	if err != nil {
		return err
	}
	d.revision = 1
	if _, err := d.inForce(ctx); err != nil {
		return err
	}
	return d.entriesOfAll(ctx)
}

// change brings a preset into force, and repeats the command as the operators'
// page says where an answer was lost or no leader is known yet.
func (d *deployment) change(ctx context.Context, t *tally, preset string) error {
	err := d.until(ctx, func() error {
		return d.command(ctx, names, "preset", "--expect", strconv.FormatUint(d.revision, 10), preset)
	})
	if err != nil {
		return err
	}
	d.revision++
	took, err := d.inForce(ctx)
	t.inForceAfter(took)
	return err
}

// drain stops an instance as planned and waits until its process has ended.
func (d *deployment) drain(ctx context.Context, name string) error {
	status, err := d.clients[name].Status(ctx)
	if err != nil {
		return err
	}
	fmt.Println(name, "has requests in progress:", status.Streams)
	if err := d.command(ctx, []string{name}, "drain"); err != nil {
		return err
	}
	return errors.Wrapf(d.take(name).Wait(), "%s ended", name)
}

// killLeader ends the process of the instance that leads.
func (d *deployment) killLeader(ctx context.Context) error {
	status, err := d.clients["a"].Status(ctx)
	if err != nil {
		return err
	}
	leader, err := d.clients[status.Leader].Status(ctx)
	if err != nil {
		return err
	}
	fmt.Println(leader.Name, "leads and has requests in progress:", leader.Streams)
	process := d.take(leader.Name)
	if process == nil {
		return errors.Newf("the leader %s has no process", leader.Name)
	}
	d.mu.Lock()
	d.killed, d.killedAt = leader.Name, time.Now()
	d.mu.Unlock()
	err = process.Process.Kill()
	_ = process.Wait()
	return err
}

// restart starts an instance again and waits until what was accepted is in force
// there.
func (d *deployment) restart(ctx context.Context, name string) error {
	if err := d.start(ctx, name); err != nil {
		return err
	}
	if _, err := d.inForce(ctx); err != nil {
		return err
	}
	return d.entriesOfAll(ctx)
}

// inForce waits until the last accepted revision is in force at all instances
// that run, and returns how long that took.
func (d *deployment) inForce(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	err := d.until(ctx, func() error {
		for _, name := range d.running() {
			status, err := d.clients[name].Status(ctx)
			if err != nil {
				return err
			}
			if !status.Fresh || status.Revision < d.revision {
				return errors.Newf("%s is at revision %d, fresh %t", name, status.Revision, status.Fresh)
			}
		}
		return nil
	})
	return time.Since(began), err
}

// entriesOfAll waits until each instance knows all upstreams and names all
// instances to callers.
func (d *deployment) entriesOfAll(ctx context.Context) error {
	return d.until(ctx, func() error {
		for _, name := range d.running() {
			status, err := d.clients[name].Status(ctx)
			if err != nil {
				return err
			}
			asker := caller.New(caller.Options{Known: []string{d.address(name, callerPort)}})
			entries, err := asker.Entries(ctx)
			if err != nil {
				return err
			}
			if len(status.Upstreams) < upstreamsOfAll || len(entries) < len(names) {
				return errors.Newf("%s knows %d upstreams and names %d instances", name, len(status.Upstreams), len(entries))
			}
		}
		return nil
	})
}

// until repeats do until it succeeds. If ctx ends before, until returns the
// error of the last try.
func (d *deployment) until(ctx context.Context, do func() error) error {
	const patience = 25 * time.Second
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		err := do()
		if err == nil || !pause.For(ctx, again) {
			return err
		}
	}
}

// watchRevisions looks at all instances until the returned function is called.
// An instance that admits work under a revision lower than it had before has
// reverted.
func watchRevisions(ctx context.Context, d *deployment, t *tally) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		highest := map[string]uint64{}
		for pause.For(ctx, again) {
			for _, name := range names {
				status, err := d.clients[name].Status(ctx)
				if err != nil || !status.Fresh {
					continue
				}
				if status.Revision < highest[name] {
					t.add(&t.reverted, name+" went back to revision "+strconv.FormatUint(status.Revision, 10))
				}
				highest[name] = max(highest[name], status.Revision)
			}
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}
