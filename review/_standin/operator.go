package main

import (
	"errors"
	"net/http"
	"time"
)

const plainService = "portal-api"

// routeTimeout is the timeout of the routes.
var routeTimeout = 800 * time.Millisecond

// manifest returns the manifest with one plain service.
func manifest(version int) string {
	return render("plain.json.tmpl", map[string]any{
		"Version": version, "Host": host, "Path": submitPath, "TimeoutMillis": routeTimeout.Milliseconds(), "Service": plainService,
	})
}

// putManifest sends a manifest until it is acknowledged.
func putManifest(d *deployment, version int, limit time.Duration) error {
	return putText(d, manifest(version), limit)
}

// putText sends the text of a manifest until it is acknowledged.
func putText(d *deployment, text string, limit time.Duration) error {
	for deadline, n := time.Now().Add(limit), 0; time.Now().Before(deadline); n++ {
		control := d.controls[n%len(d.controls)]
		status, _, err := call(http.MethodPut, "http://"+control.address(controlPort)+wire.ManifestPath, text, 3*time.Second)
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the manifest was not acknowledged")
}

// awaitReady waits until all entry instances are ready.
func awaitReady(d *deployment, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, entry := range d.entries {
			status, _, err := call(http.MethodGet, "http://"+entry.address(readyPort)+wire.ReadyPath, "", time.Second)
			if err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.entries) {
			return nil
		}
	}
	return errors.New("the entry instances did not get ready")
}

// startSystem starts the deployment and one server of the plain service in each of the zones. It
// returns the servers also with an error.
func startSystem(d *deployment, r *record, zones []string, work time.Duration) ([]*server, error) {
	if err := d.start(); err != nil {
		return nil, err
	}
	if err := putManifest(d, 1, 15*time.Second); err != nil {
		return nil, err
	}
	var servers []*server
	for number, zone := range zones {
		s, err := newServer(d, r, plainService, number, zone, work)
		if err != nil {
			return servers, err
		}
		servers = append(servers, s)
	}
	return servers, errors.Join(awaitReady(d, 15*time.Second), d.endFirstStart())
}

func stopServers(servers []*server) {
	for _, s := range servers {
		s.stop()
	}
}
