package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	draftPath    = "/draft/"
	draftTimeout = 12 * time.Second
	// lateModel is the model of the order that is carried out late.
	lateModel = "ma"
	// lateAfter is how long after it was sent the order is carried out.
	lateAfter = 11500 * time.Millisecond
	// engineDowntime is how long the crashed engine is down.
	engineDowntime = 4500 * time.Millisecond
	// settleTime is how long the case waits for what follows.
	settleTime = 3 * time.Second
)

// playLateOrder lets an engine leave an order unanswered, which it carries out late, and crash in
// between. It starts again under its id.
func playLateOrder(d *deployment, r *record, trouble bool) (bool, error) {
	d.bounds = coyoyBounds
	if err := d.start(); err != nil {
		return false, err
	}
	if err := putText(d, engineManifest(1), 15*time.Second); err != nil {
		return false, err
	}
	if err := errors.Join(awaitReady(d, 15*time.Second), d.endFirstStart()); err != nil {
		return false, err
	}
	e := newEngine(d, r, 0, "a")
	e.leavesUnanswered = onceFor(lateModel, trouble)
	ctx, cancel := context.WithCancel(context.Background())
	c := &draftClients{deployment: d, record: r}
	defer c.group.Wait()
	defer cancel()
	defer e.crash()
	c.ask("mx", "my")
	c.run(ctx, 8)
	time.Sleep(time.Second)
	if err := e.start(); err != nil {
		return false, err
	}
	if trouble {
		select {
		case order := <-e.lateOrders:
			if err := crashAndCarryOut(e, c, order); err != nil {
				return false, err
			}
		case <-time.After(30 * time.Second):
			return false, errors.New("the engine was not ordered to load " + lateModel)
		}
	} else {
		time.Sleep(10 * time.Second)
		c.ask("mb", "mc")
		time.Sleep(20 * time.Second)
	}
	time.Sleep(settleTime)
	r.summaryf("%d requests answered", c.answered.Load())
	if problem := e.overcommitment(); problem != "" {
		r.summaryf("%s", problem)
		return true, nil
	}
	return false, nil
}

// onceFor returns a function that is true for the first order to load a model.
func onceFor(model string, trouble bool) func(engineOrder) bool {
	var used atomic.Bool
	return func(order engineOrder) bool {
		return trouble && order.Op == "load" && order.Model == model && order.Precondition != nil && !used.Swap(true)
	}
}

// crashAndCarryOut crashes the engine after an order was left unanswered, starts it again, and carries
// the order out late.
func crashAndCarryOut(e *engine, c *draftClients, order engineOrder) error {
	at := time.Now()
	time.Sleep(400 * time.Millisecond)
	e.crash()
	c.ask("mb", "mc")
	time.Sleep(engineDowntime)
	if err := e.start(); err != nil {
		return err
	}
	time.Sleep(time.Until(at.Add(lateAfter)))
	seq, busy, megabytes := e.state()
	e.record.addf("late      order is carried out %.1f s after it was sent; the engine is at Seq %d, busy %v, and holds %.0f MB",
		time.Since(at).Seconds(), seq, busy, megabytes)
	e.carryOut(order)
	return nil
}

// engineManifest returns the manifest with one service of engines.
func engineManifest(version int) string {
	type model struct {
		Name      string
		Megabytes float64
	}
	var models []model
	for _, name := range slices.Sorted(maps.Keys(modelMegabytes)) {
		models = append(models, model{name, modelMegabytes[name]})
	}
	return render("engines.json.tmpl", map[string]any{
		"Version": version, "Host": host, "Path": draftPath, "TimeoutMillis": draftTimeout.Milliseconds(), "Service": engineService,
		"Megabytes": engineMegabytes, "Models": models, "LoadSeconds": loadTime.Seconds(),
	})
}

// draftClients ask for drafts of the models that are in demand.
type draftClients struct {
	deployment *deployment
	record     *record
	answered   atomic.Int64
	group      sync.WaitGroup

	mu     sync.Mutex
	models []string
}

// ask sets the models in demand.
func (c *draftClients) ask(models ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.models = models
	c.record.addf("demand    for %s", strings.Join(models, " and "))
}

func (c *draftClients) run(ctx context.Context, count int) {
	for number := range count {
		c.group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.send(fmt.Sprintf("%04x%08x", number, n), number+n)
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
}

// send sends one request for a draft.
func (c *draftClients) send(id string, turn int) {
	c.mu.Lock()
	model := c.models[turn%len(c.models)]
	c.mu.Unlock()
	entry := c.deployment.entries[turn%len(c.deployment.entries)]
	const timeout = 4 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.address(frontPort)+draftPath+"2f", strings.NewReader("draft "+id))
	if err != nil {
		return
	}
	request.GetBody = nil
	request.Host = host
	request.Header.Set(wire.RequestID, id)
	request.Header.Set(wire.Model, model)
	request.Header.Set(wire.TokenCounts, "200,25")
	request.Header.Set(wire.PromptParts, "5c1e07a2:150,"+id+":50")
	request.Header.Set(wire.Deadline, fmt.Sprint(timeout.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	status := 0
	if err == nil {
		if _, err = readAll(response.Body); err == nil {
			status = response.StatusCode
		}
		response.Body.Close()
	}
	if status == http.StatusOK {
		c.answered.Add(1)
	}
	c.record.addf("answered  %s for %s: %d", id, model, status)
}
