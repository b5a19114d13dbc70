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

// retryInterval is the interval between retries of an operator command, and
// between polls of the status.
const retryInterval = 50 * time.Millisecond

// bootstrap starts all instances, bootstraps the cluster and applies the
// declarations.
func (d *deployment) bootstrap(ctx context.Context) error {
	for _, name := range instanceNames {
		if err := d.start(ctx, name); err != nil {
			return err
		}
	}
	if err := d.retry(ctx, func() error { return d.runCommand(ctx, []string{"a"}, "voters", "--bootstrap") }); err != nil {
		return err
	}
	err := d.retry(ctx, func() error {
		return d.runCommand(ctx, []string{"a"}, "apply", "--expect", "0", d.options.declarations)
	})
	if err != nil {
		return err
	}
	d.revision = 1
	if _, err := d.awaitRevision(ctx); err != nil {
		return err
	}
	return d.awaitEntries(ctx)
}

// changePreset activates a preset. As the operators' documentation prescribes,
// it repeats the command if a response was lost or no leader is known yet.
func (d *deployment) changePreset(ctx context.Context, t *tally, preset string) error {
	err := d.retry(ctx, func() error {
		return d.runCommand(ctx, instanceNames, "preset", "--expect", strconv.FormatUint(d.revision, 10), preset)
	})
	if err != nil {
		return err
	}
	d.revision++
	took, err := d.awaitRevision(ctx)
	t.recordApplyTime(took)
	return err
}

// drain shuts an instance down gracefully and waits for its process to exit.
func (d *deployment) drain(ctx context.Context, name string) error {
	status, err := d.clients[name].Status(ctx)
	if err != nil {
		return err
	}
	fmt.Println(name, "has requests in progress:", status.ActiveRequests)
	if err := d.runCommand(ctx, []string{name}, "drain"); err != nil {
		return err
	}
	return errors.Wrapf(d.removeProcess(name).Wait(), "%s ended", name)
}

// killLeader kills the process of the leader.
func (d *deployment) killLeader(ctx context.Context) error {
	status, err := d.clients["a"].Status(ctx)
	if err != nil {
		return err
	}
	leader, err := d.clients[status.Leader].Status(ctx)
	if err != nil {
		return err
	}
	fmt.Println(leader.Name, "leads and has requests in progress:", leader.ActiveRequests)
	process := d.removeProcess(leader.Name)
	if process == nil {
		return errors.Newf("the leader %s has no process", leader.Name)
	}
	d.mu.Lock()
	d.killedInstance, d.killedAt = leader.Name, time.Now()
	d.mu.Unlock()
	err = process.Process.Kill()
	_ = process.Wait()
	return err
}

// restart starts an instance again and waits until it has applied the last
// accepted revision.
func (d *deployment) restart(ctx context.Context, name string) error {
	if err := d.start(ctx, name); err != nil {
		return err
	}
	if _, err := d.awaitRevision(ctx); err != nil {
		return err
	}
	return d.awaitEntries(ctx)
}

// awaitRevision waits until all running instances have applied the last
// accepted revision, and returns how long that took.
func (d *deployment) awaitRevision(ctx context.Context) (time.Duration, error) {
	startedAt := time.Now()
	err := d.retry(ctx, func() error {
		for _, name := range d.runningInstances() {
			status, err := d.clients[name].Status(ctx)
			if err != nil {
				return err
			}
			if !status.HasConfigLease || status.Revision < d.revision {
				return errors.Newf("%s is at revision %d, fresh %t", name, status.Revision, status.HasConfigLease)
			}
		}
		return nil
	})
	return time.Since(startedAt), err
}

// awaitEntries waits until each running instance knows all upstreams and
// returns all instances to callers.
func (d *deployment) awaitEntries(ctx context.Context) error {
	return d.retry(ctx, func() error {
		for _, name := range d.runningInstances() {
			status, err := d.clients[name].Status(ctx)
			if err != nil {
				return err
			}
			client := caller.New(caller.Options{Seeds: []string{d.address(name, callerPort)}})
			entries, err := client.Entries(ctx)
			if err != nil {
				return err
			}
			if len(status.Upstreams) < upstreamCount || len(entries) < len(instanceNames) {
				return errors.Newf("%s knows %d upstreams and names %d instances", name, len(status.Upstreams), len(entries))
			}
		}
		return nil
	})
}

// retry calls attempt until it succeeds. If ctx or the timeout ends before,
// retry returns the error of the last attempt.
func (d *deployment) retry(ctx context.Context, attempt func() error) error {
	const retryTimeout = 25 * time.Second
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	for {
		err := attempt()
		if err == nil || !pause.For(ctx, retryInterval) {
			return err
		}
	}
}

// watchRevisions polls all instances until stop is called. An instance that
// admits requests under a lower revision than before has reverted its
// configuration.
func watchRevisions(ctx context.Context, d *deployment, t *tally) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		highest := map[string]uint64{}
		for pause.For(ctx, retryInterval) {
			for _, name := range instanceNames {
				status, err := d.clients[name].Status(ctx)
				if err != nil || !status.HasConfigLease {
					continue
				}
				if status.Revision < highest[name] {
					t.add(&t.revertedRevisions, name+" went back to revision "+strconv.FormatUint(status.Revision, 10))
				}
				highest[name] = max(highest[name], status.Revision)
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
