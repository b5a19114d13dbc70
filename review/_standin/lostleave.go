package main

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// lossDelay is the time from the acknowledgement of the leave to the loss of power.
	lossDelay = 100 * time.Millisecond
	// coreDowntime is how long the core is without power.
	coreDowntime = 2 * time.Second
	// lingerTime is how long the leaving server serves after the acknowledgement.
	lingerTime = 9 * time.Second
	// timeMargin is added to the moment from which the machines are in touch again.
	timeMargin = 50 * time.Millisecond
)

// playLostLeave lets a server leave. Just after a control instance has acknowledged that, all machines
// of the core lose power for a while.
func playLostLeave(d *deployment, r *record, trouble bool) (bool, error) {
	servers, err := startSystem(d, r, []string{"a", "b", "c", "a"}, 15*time.Millisecond)
	defer stopServers(servers)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &clients{deployment: d, record: r, attempts: map[string]attempt{}}
	defer c.group.Wait()
	defer cancel()
	c.run(ctx, 12, callPause)
	// Until then the voters have grown to five, and all machines are in touch.
	time.Sleep(8 * time.Second)

	leaving := servers[0]
	if len(leaving.allRuns()) == 0 {
		return false, errors.New("the server that is to leave has run nothing")
	}
	by, acknowledgedAt := leaving.leave()
	if by == nil {
		return false, errors.New("no control instance acknowledged the leave")
	}
	r.addf("leave     of %s acknowledged by %s", leaving.id, by.name)
	lastCoreEvent := acknowledgedAt.Add(-d.bounds.contact)
	if trouble {
		time.Sleep(lossDelay)
		if lastCoreEvent, err = losePower(d, r); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(acknowledgedAt.Add(lingerTime)))
	leaving.stop()
	r.addf("ended     %s", leaving.id)
	time.Sleep(time.Second)
	cancel()
	c.group.Wait()
	for _, m := range d.all() {
		if m.hasExited() {
			return false, errors.New(m.name + " has ended by itself")
		}
	}
	return judgeDrain(d.bounds, r, leaving, c.snapshot(), acknowledgedAt, lastCoreEvent), nil
}

// losePower kills all processes of the core at the same moment, starts them again after coreDowntime
// and returns when the last was started. What the disks hold stays.
func losePower(d *deployment, r *record) (startedAt time.Time, err error) {
	var kills sync.WaitGroup
	for _, control := range d.controls {
		kills.Go(control.kill)
	}
	kills.Wait()
	r.addf("killed    all processes of the core")
	time.Sleep(coreDowntime)
	for _, control := range d.controls {
		if err := control.start(); err != nil {
			return time.Time{}, err
		}
	}
	startedAt = time.Now()
	r.addf("started   all processes of the core")
	for time.Since(startedAt) < d.bounds.contact {
		status, _, err := call(http.MethodGet, "http://"+d.controls[0].address(controlPort)+wire.ManifestPath, "", time.Second)
		if err == nil && status == http.StatusOK {
			r.addf("works     the core, %.3f s after its start", time.Since(startedAt).Seconds())
			return startedAt, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Time{}, errors.New("the core does not work again in time")
}

// judgeDrain reports whether requests that machines in touch took and sent on reached the leaving
// server later than DrainMs after the acknowledgement of its leave. All machines are in touch from
// ContactMs after the last event of the core.
func judgeDrain(b bounds, r *record, leaving *server, attempts map[string]attempt, acknowledgedAt, lastCoreEvent time.Time) bool {
	inTouchFrom := lastCoreEvent.Add(b.contact + timeMargin)
	late, counted := 0, 0
	var last time.Duration
	for _, ran := range leaving.allRuns() {
		after := ran.at.Sub(acknowledgedAt)
		if after <= b.drain {
			continue
		}
		late++
		if a, known := attempts[ran.id]; !known || a.sentAt.Before(inTouchFrom) {
			continue
		}
		counted++
		last = max(last, after)
		r.addf("late      %s ran at %s %.3f s after the acknowledgement", ran.id, leaving.id, after.Seconds())
	}
	r.summaryf("all machines are in touch from %.3f s after the acknowledgement on", inTouchFrom.Sub(acknowledgedAt).Seconds())
	r.summaryf("%d requests reached %s later than DrainMs after the acknowledgement, %d of them taken and sent on by machines in touch, the last %.3f s after it",
		late, leaving.id, counted, last.Seconds())
	return counted > 0
}
