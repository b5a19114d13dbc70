package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// EngineOptions are the settings of a stand-in engine.
type EngineOptions struct {
	// Name, Address and FailureDomain are announced as they are.
	Name          string
	Address       string
	FailureDomain string
	// Incarnation is announced. If it is 0, the nanoseconds of the clock at the
	// start take its place, so that it grows with each start.
	Incarnation  uint64
	Fencing      upstreamapi.Fencing
	Accelerators []upstreamapi.Accelerator
	// Resident are the models that are loaded from the start.
	Resident []upstreamapi.Resident
	// FirstTokenDelay passes before the first token of an answer, and TokenDelay
	// before each that follows.
	FirstTokenDelay time.Duration
	TokenDelay      time.Duration
	// MaxRunning is the most requests that run at once; one more is refused. If
	// it is 0, there is no limit.
	MaxRunning int
	Announce   AnnounceOptions
	// Clock is the machine's if it is nil.
	Clock Clock
}

// Engine is a stand-in for a model engine. It answers each completion with the
// words of the last message, so that a caller can tell whether it got the whole
// answer to its own request. It is safe for concurrent use.
type Engine struct {
	options   EngineOptions
	clock     Clock
	handler   *echo.Echo
	announcer *announcer

	mu      sync.Mutex
	running int
	// resident is what can be run now.
	resident []upstreamapi.Resident
	// runs counts the completions that were begun, by request id.
	runs map[string]int
}

// NewEngine returns an engine that has started to announce itself. Close ends
// that.
func NewEngine(options EngineOptions) *Engine {
	if options.Clock == nil {
		options.Clock = SystemClock{}
	}
	if options.Incarnation == 0 {
		options.Incarnation = uint64(options.Clock.Now().UnixNano())
	}
	e := &Engine{
		options:  options,
		clock:    options.Clock,
		handler:  newEcho(),
		resident: slices.Clone(options.Resident),
		runs:     map[string]int{},
	}
	e.handler.POST("/v1/chat/completions", e.completions)
	e.handler.POST("/v1/completions", e.completions)
	e.handler.GET("/v1/models", e.models)
	e.announcer = newAnnouncer(options.Announce, options.Clock, e.announcement)
	return e
}

// ServeHTTP answers a request of the system.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// Close tells an instance that the engine leaves. Requests that run are still
// answered. If no instance can be told, Close returns why.
func (e *Engine) Close(ctx context.Context) error {
	return e.announcer.Close(ctx)
}

// Announced returns the number of announcements that an instance has taken.
func (e *Engine) Announced() uint64 {
	return e.announcer.Accepted()
}

// Runs returns how often a completion was begun under a request id.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// announcement returns the engine's present announcement without a sequence.
func (e *Engine) announcement() upstreamapi.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return upstreamapi.Announcement{
		Name:          e.options.Name,
		Incarnation:   e.options.Incarnation,
		Address:       e.options.Address,
		Kind:          upstreamapi.KindEngine,
		FailureDomain: e.options.FailureDomain,
		Fencing:       e.options.Fencing,
		Accelerators:  e.options.Accelerators,
		Resident:      slices.Clone(e.resident),
		Load: upstreamapi.Load{
			Running:       e.running,
			MaxRunning:    e.options.MaxRunning,
			TokenInterval: e.options.TokenDelay,
		},
	}
}

func (e *Engine) models(c echo.Context) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, resident := range e.announcement().Resident {
		list.Data = append(list.Data, modelEntry{ID: resident.Model, Object: "model", OwnedBy: e.options.Name})
		for _, adapter := range resident.Adapters {
			list.Data = append(list.Data, modelEntry{ID: adapter, Object: "model", OwnedBy: resident.Model})
		}
	}
	return c.JSON(http.StatusOK, list)
}

// begin takes a slot for a request, or returns why it is not run.
func (e *Engine) begin(id, model string) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.holds(model):
		return &refusal{http.StatusNotFound, "model_not_found", "standin: the model " + model + " is not loaded"}
	case e.options.MaxRunning > 0 && e.running >= e.options.MaxRunning:
		return &refusal{http.StatusTooManyRequests, "busy", "standin: as many requests run as may"}
	}
	e.running++
	e.runs[id]++
	return nil
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// holds tells whether a model or an adapter of that name is loaded.
func (e *Engine) holds(name string) bool {
	return slices.ContainsFunc(e.resident, func(r upstreamapi.Resident) bool {
		return r.Model == name || slices.Contains(r.Adapters, name)
	})
}

// refusal is the answer to a request of which nothing was run.
type refusal struct {
	status  int
	code    string
	message string
}

// refuse answers r and marks the answer as that of a request that was not run.
func refuse(c echo.Context, r *refusal) error {
	c.Response().Header().Set(upstreamapi.RefusedHeader, upstreamapi.RefusedNotRun)
	return c.JSON(r.status, apiError{apiErrorBody{Message: r.message, Type: "invalid_request_error", Code: r.code}})
}

// wait returns nil after d has passed, or an error if ctx ends before.
func (e *Engine) wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "standin: caller gone")
	case <-e.clock.After(d):
		return nil
	}
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}
