package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	engineService = "clue-models"
	// engineMegabytes is WeightsMb of the service's Engine.
	engineMegabytes = 200000.0
	// loadTime is DiskLoadS of the models, whose weights are on the engine's disk, and unloadTime how
	// long an engine takes to unload one.
	loadTime   = 1300 * time.Millisecond
	unloadTime = 200 * time.Millisecond
)

// modelMegabytes are the sizes of the models.
var modelMegabytes = map[string]float64{"ma": 65500, "mb": 72700, "mc": 72700, "mx": 65100, "my": 65100}

// engineOrder is an order to an engine.
type engineOrder struct {
	Op, Model, Adapter, Holder string
	Fence, Precondition        *uint64
}

// engine is a model engine. It may start again under its id.
type engine struct {
	id, address, zone string
	deployment        *deployment
	record            *record
	// leavesUnanswered decides whether an order is left unanswered, to be carried out late.
	leavesUnanswered func(engineOrder) bool
	// lateOrders get the orders that were left unanswered.
	lateOrders chan engineOrder

	mu      sync.Mutex
	running bool
	born    int64
	beats   int
	loaded  map[string]bool
	loading string
	busy    bool
	seq     uint64
	http    *http.Server
	stopped chan struct{}
	// overcommitted describes the first order to load more than there is room for.
	overcommitted string
}

func newEngine(d *deployment, r *record, number int, zone string) *engine {
	return &engine{
		id: fmt.Sprintf("i-%08x", 0x51c0de00+number), address: fmt.Sprintf("%s.%d:8080", d.network, 150+number), zone: zone,
		deployment: d, record: r, leavesUnanswered: func(engineOrder) bool { return false }, lateOrders: make(chan engineOrder, 1),
	}
}

// start starts a new lifetime, which holds and knows nothing of the one before.
func (e *engine) start() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running, e.born, e.beats = true, time.Now().UnixMilli(), 0
	e.loaded, e.loading, e.busy, e.seq = map[string]bool{}, "", false, 0
	e.stopped = make(chan struct{})
	e.http = &http.Server{Handler: e.handler()}
	go func(server *http.Server) {
		// Serve ends when the server is closed.
		_ = server.Serve(listener)
	}(e.http)
	go e.beat(e.stopped)
	e.record.addf("start     of %s", e.id)
	return nil
}

// crash ends the lifetime at once.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.running {
		return
	}
	e.running = false
	close(e.stopped)
	e.http.Close()
	e.record.addf("crash     of %s", e.id)
}

// beat sends liveness reports until the lifetime ends.
func (e *engine) beat(stopped chan struct{}) {
	for next := 0; ; next++ {
		e.mu.Lock()
		e.beats++
		body, err := json.Marshal(map[string]any{
			"Service": engineService, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": 12, "State": "ready",
			wire.ColdLeft: 0, "Stage": "colocated", "Models": e.wireModels(), "Available": available(), "Seq": e.beats, "born": e.born,
		})
		e.mu.Unlock()
		for i := range e.deployment.controls {
			control := e.deployment.controls[(next+i)%len(e.deployment.controls)]
			status, _, callErr := call(http.MethodPut, "http://"+control.address(controlPort)+wire.InstancesPath+e.id, string(body), time.Second)
			if err != nil || callErr == nil && status/100 == 2 {
				break
			}
		}
		select {
		case <-stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// wireModels returns the models that the engine holds. e.mu is held.
func (e *engine) wireModels() []map[string]any {
	models := []map[string]any{}
	for name := range e.loaded {
		models = append(models, map[string]any{"Name": name, "Version": 1, "Adapters": []string{}})
	}
	return models
}

// available returns the copies of weights, which a restart preserves on the disk.
func available() map[string]any {
	names := []string{}
	for name := range modelMegabytes {
		names = append(names, name)
	}
	return map[string]any{"InMemory": []string{}, "OnDisk": names}
}

func (e *engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.ReportPath, e.serveReport)
	mux.HandleFunc("POST "+wire.OrderPath, e.serveOrder)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", e.id) })
	mux.HandleFunc("/", e.serveStream)
	return mux
}

func (e *engine) isMisdirected(w http.ResponseWriter, r *http.Request) bool {
	if expected := r.Header.Get(wire.Expected); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	return false
}

func (e *engine) serveReport(w http.ResponseWriter, r *http.Request) {
	if e.isMisdirected(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Stage": "colocated", "Models": e.wireModels(), "Busy": e.busy, "Seq": e.seq, "Queued": 0, "Active": 0, "KvUsed": 0, "KvTotal": 50052,
		"Handles": 0, "Available": available(), "born": e.born,
	})
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if e.isMisdirected(w, r) {
		return
	}
	var order engineOrder
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" || order.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.leavesUnanswered(order) {
		e.record.addf("order     %s %s, Precondition %d, from %s: left unanswered by %s", order.Op, order.Model, *order.Precondition, order.Holder, e.id)
		e.lateOrders <- order
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(e.carryOut(order))
}

// carryOut carries out an order and returns the status of its answer.
func (e *engine) carryOut(order engineOrder) (status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer func() {
		precondition := "none"
		if order.Precondition != nil {
			precondition = fmt.Sprint(*order.Precondition)
		}
		e.record.addf("order     %s %s, Precondition %s, from %s: %d by %s, which holds %.0f MB at Seq %d", order.Op, order.Model, precondition, order.Holder,
			status, e.id, e.megabytes(), e.seq)
	}()
	switch {
	case !e.running:
		return 0
	case e.busy, order.Precondition != nil && *order.Precondition != e.seq:
		return http.StatusConflict
	case order.Adapter != "" || modelMegabytes[order.Model] == 0:
		return http.StatusBadRequest
	case (order.Op == "load") == e.loaded[order.Model]:
		return http.StatusOK
	}
	if needed := e.megabytes() + modelMegabytes[order.Model]; order.Op == "load" && needed > engineMegabytes {
		e.overcommitted = fmt.Sprintf("%s was ordered to load %s: %.0f MB, of %.0f", e.id, order.Model, needed, engineMegabytes)
		return http.StatusAccepted
	}
	e.seq++
	e.busy = true
	duration := unloadTime
	if order.Op == "load" {
		e.loading, duration = order.Model, loadTime
	}
	stopped := e.stopped
	time.AfterFunc(duration, func() { e.finish(order, stopped) })
	return http.StatusAccepted
}

// finish completes an order, unless the lifetime has ended.
func (e *engine) finish(order engineOrder, stopped chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped != stopped || !e.running {
		return
	}
	e.busy, e.loading = false, ""
	if order.Op == "load" {
		e.loaded[order.Model] = true
	} else {
		delete(e.loaded, order.Model)
	}
}

// megabytes returns what the models take that are held and loaded. e.mu is held.
func (e *engine) megabytes() float64 {
	total := modelMegabytes[e.loading]
	for name := range e.loaded {
		total += modelMegabytes[name]
	}
	return total
}

// state returns the state of the engine.
func (e *engine) state() (seq uint64, busy bool, megabytes float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seq, e.busy, e.megabytes()
}

// overcommitment describes the order that exceeded the engine's room, if there was one.
func (e *engine) overcommitment() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overcommitted
}

// serveStream runs a request and answers with a few events.
func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	if e.isMisdirected(w, r) {
		return
	}
	if _, err := readAll(r.Body); err != nil {
		return
	}
	id, model := r.Header.Get(wire.RequestID), r.Header.Get(wire.Model)
	e.mu.Lock()
	holds := e.loaded[model]
	e.mu.Unlock()
	w.Header().Set(wire.RequestID, id)
	w.Header().Set("X-Instance-Id", e.id)
	if !holds {
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.record.addf("run       %s at %s, model %s", id, e.id, model)
	w.Header().Set(wire.Stamp, "stamp-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := range 5 {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event+1, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}
