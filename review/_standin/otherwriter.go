package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// faultDowntime is how long all processes are down in the final fault.
	faultDowntime = time.Second
	// writerDelay is the time from the start of the processes until the other writer's reports.
	writerDelay = 5 * time.Second
	// judgedTime is how long requests are counted before the final fault and after RecoveryS.
	judgedTime = 8 * time.Second
)

// playOtherWriter ends a day with the final fault that kills all processes. During the recovery another
// writer sends one liveness report under the id of each server, for a service that the manifest does
// not name.
func playOtherWriter(d *deployment, r *record, trouble bool) (bool, error) {
	d.bounds = coyoyBounds
	servers, err := startSystem(d, r, []string{"a", "b", "c", "a"}, 15*time.Millisecond)
	defer stopServers(servers)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &clients{deployment: d, record: r, attempts: map[string]attempt{}}
	defer c.group.Wait()
	defer cancel()
	time.Sleep(4 * time.Second)
	c.run(ctx, 12, callPause)
	time.Sleep(judgedTime)

	faultAt, backAt, err := finalFault(d, r)
	if err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(time.Until(backAt.Add(writerDelay)))
		for number, s := range servers {
			if err := writeForeignReport(d, r, s, number); err != nil {
				return false, err
			}
		}
	}
	from := backAt.Add(d.bounds.recovery)
	time.Sleep(time.Until(from.Add(judgedTime)))
	cancel()
	c.group.Wait()
	for _, m := range d.all() {
		if m.hasExited() {
			return false, errors.New(m.name + " has ended by itself")
		}
	}
	return judgeRecovery(r, c.snapshot(), faultAt, from), nil
}

// finalFault kills all processes just after a change was acknowledged, and starts them again.
func finalFault(d *deployment, r *record) (faultAt, backAt time.Time, err error) {
	if err := putManifest(d, 2, 5*time.Second); err != nil {
		return time.Time{}, time.Time{}, err
	}
	faultAt = time.Now()
	var kills sync.WaitGroup
	for _, m := range d.all() {
		kills.Go(m.kill)
	}
	kills.Wait()
	r.addf("killed    all processes")
	time.Sleep(faultDowntime)
	for _, m := range d.all() {
		if err := m.start(); err != nil {
			return time.Time{}, time.Time{}, err
		}
	}
	backAt = time.Now()
	r.addf("started   all processes")
	return faultAt, backAt, nil
}

// writeForeignReport sends the other writer's report under the id of a server.
func writeForeignReport(d *deployment, r *record, s *server, number int) error {
	body, err := json.Marshal(map[string]any{
		"Service": "another-service", "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": slots,
		"State": "ready", wire.ColdLeft: 0, "Seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	for i := range d.controls {
		control := d.controls[(number+i)%len(d.controls)]
		status, _, err := call(http.MethodPut, "http://"+control.address(controlPort)+wire.InstancesPath+s.id, string(body), time.Second)
		if err == nil && status < http.StatusInternalServerError {
			r.addf("written   %s to %s by another writer, answered %d", body, control.name, status)
			return nil
		}
	}
	return fmt.Errorf("the report of another writer for %s was not answered", s.id)
}

// judgeRecovery reports whether less than a quarter of the requests sent after from is served, though a
// quarter or more was before the final fault.
func judgeRecovery(r *record, attempts map[string]attempt, faultAt, from time.Time) bool {
	const quarter = 0.25
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	for _, a := range attempts {
		served := a.status == http.StatusOK && a.stamp != ""
		switch {
		case a.sentAt.Before(faultAt.Add(-requestTimeout)):
			before++
			if served {
				servedBefore++
			}
		case a.sentAt.After(from):
			after++
			if served {
				servedAfter++
			}
		}
	}
	r.summaryf("served before the final fault: %d of %d requests", servedBefore, before)
	r.summaryf("served of those sent later than RecoveryS after the machines were back: %d of %d requests", servedAfter, after)
	return float64(servedBefore) >= quarter*float64(before) && float64(servedAfter) < quarter*float64(after)
}
