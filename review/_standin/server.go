package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// slots is how many requests a server runs at once.
const slots = 12

// run is one request that a server has run.
type run struct {
	id, server string
	at         time.Time
}

// server is one server of a plain service.
type server struct {
	id, service, zone, address string
	deployment                 *deployment
	record                     *record
	work                       time.Duration
	// born is the start of the server in Unix milliseconds.
	born int64

	mu       sync.Mutex
	runs     []run
	leaving  bool
	sequence int
	listener net.Listener
	http     *http.Server
	stopped  chan struct{}
}

func newServer(d *deployment, r *record, service string, number int, zone string, work time.Duration) (*server, error) {
	s := &server{
		id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), service: service, zone: zone, deployment: d, record: r,
		address: fmt.Sprintf("%s.%d:8080", d.network, 100+number), work: work, born: time.Now().UnixMilli(), stopped: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	s.http = &http.Server{Handler: s}
	go func() {
		// Serve ends when the server is closed.
		_ = s.http.Serve(listener)
	}()
	go s.beat(time.Duration(number) * heartbeatInterval / 4)
	return s, nil
}

// beat sends liveness reports, each to the next control instance that answers.
func (s *server) beat(phase time.Duration) {
	timer := time.NewTimer(phase % heartbeatInterval)
	defer timer.Stop()
	for next := 0; ; next++ {
		select {
		case <-s.stopped:
			return
		case <-timer.C:
		}
		timer.Reset(heartbeatInterval)
		s.mu.Lock()
		leaving := s.leaving
		s.sequence++
		body, err := json.Marshal(map[string]any{
			"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": slots,
			"State": "ready", wire.ColdLeft: 0, "Seq": s.sequence, "born": s.born,
		})
		s.mu.Unlock()
		if leaving || err != nil {
			return
		}
		s.tell(http.MethodPut, string(body), next)
	}
}

// tell calls the control instances in turn until one answers with success, and returns it.
func (s *server) tell(method, body string, first int) (*machine, time.Time) {
	controls := s.deployment.controls
	for i := range controls {
		control := controls[(first+i)%len(controls)]
		status, _, err := call(method, "http://"+control.address(controlPort)+wire.InstancesPath+s.id, body, time.Second)
		if err == nil && status/100 == 2 {
			return control, time.Now()
		}
	}
	return nil, time.Time{}
}

// leave removes the server from the list before its planned end. It goes on serving.
func (s *server) leave() (acknowledgedBy *machine, at time.Time) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	return s.tell(http.MethodDelete, fmt.Sprintf(`{"born":%d}`, s.born), 1)
}

// stop ends the server.
func (s *server) stop() {
	select {
	case <-s.stopped:
	default:
		close(s.stopped)
		s.http.Close()
	}
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(wire.Expected) != "" && r.Header.Get(wire.Expected) != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Instance-Id", s.id)
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, err := readAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(wire.RequestID)
	now := time.Now()
	s.mu.Lock()
	s.runs = append(s.runs, run{id: id, server: s.id, at: now})
	s.mu.Unlock()
	s.record.addf("run       %s at %s", id, s.id)
	time.Sleep(s.work)
	w.Header().Set(wire.RequestID, id)
	w.Header().Set(wire.Stamp, "stamp-"+id)
	fmt.Fprintf(w, "answer to %s, %d bytes in", id, len(body))
}

// allRuns returns the requests that the server has run.
func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run{}, s.runs...)
}
