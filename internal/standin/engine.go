package standin

import (
	"context"
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// EngineOptions configure a test double of a model engine.
type EngineOptions struct {
	// Name, Address and FailureDomain are announced unchanged.
	Name          string
	Address       string
	FailureDomain string
	// Incarnation is announced. If it is 0, it is the start time in Unix
	// nanoseconds, so that it increases with each start.
	Incarnation uint64
	// Fencing determines whether the engine rejects orders with an old fencing
	// number.
	Fencing      upstreamapi.Fencing
	Accelerators []upstreamapi.Accelerator
	// Resident are the models loaded at start. They must fit.
	Resident []upstreamapi.Resident
	// Capabilities are the supported capabilities. If it is nil, they are those
	// of EngineCapabilities, without CapabilityResume if ResumeWindow is 0.
	Capabilities []upstreamapi.Capability
	// OrderToken is the bearer token required for orders, status queries,
	// cancels, resumes and KV transfers. If it is empty, none is required.
	OrderToken string
	// FirstTokenDelay is the time before the first token of an answer, and
	// TokenDelay the time before each later one. PrefillTokenDelay is added to
	// the first for each prompt token that is not in the prefix cache.
	FirstTokenDelay   time.Duration
	TokenDelay        time.Duration
	PrefillTokenDelay time.Duration
	// LoadDelay is the duration of a load, a change of version or a change of
	// role, and UnloadDelay that of an unload.
	LoadDelay   time.Duration
	UnloadDelay time.Duration
	// MaxRunning is the maximum number of concurrent requests, 0 for no limit.
	// MaxWaiting is the maximum number of waiting requests; further ones are
	// rejected.
	MaxRunning int
	MaxWaiting int
	// ResumeWindow is how long an answer continues without a connection. If it
	// is 0, an answer ends with its connection.
	ResumeWindow time.Duration
	// CachedPrefixes is the capacity of the prefix cache.
	CachedPrefixes int
	Faults         EngineFaults
	Announce       AnnounceOptions
	// Clock defaults to SystemClock.
	Clock Clock
}

// EngineFaults configure fault injection. The zero value injects none. The
// functions must be safe for concurrent use.
type EngineFaults struct {
	// LoseOrderAnswer reports whether the connection is closed after the engine
	// has accepted the order and before it responds.
	LoseOrderAnswer func(upstreamapi.Order) bool
	// LoseCacheEvent reports whether the event with that number is never
	// published.
	LoseCacheEvent func(number uint64) bool
	// CacheEventDelay is the time before cache events are published.
	CacheEventDelay time.Duration
	// CutStreamAfter is the number of events after which a connection is
	// closed, 0 for never.
	CutStreamAfter int
	// SilentAfter is the number of events after which a connection stays open
	// but carries nothing more, 0 for never. The answer is still generated.
	SilentAfter int
}

// Engine is a test double of a model engine. It answers each completion with
// the words of the last message, so that a caller can check whether it received
// the whole answer to its own request. It is safe for concurrent use.
type Engine struct {
	options   EngineOptions
	clock     Clock
	handler   *echo.Echo
	announcer *announcer
	slots     slots
	// cancelBackground cancels backgroundCtx, which ends the goroutines in
	// background.
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
	background       sync.WaitGroup
	// cacheChanged wakes the publisher of cache events.
	cacheChanged chan struct{}

	mu       sync.Mutex
	memory   *memory
	orders   orderLog
	cache    *prefixCache
	requests requestLog
	// activeRequests counts the running and waiting requests by usage key.
	// requestEnded is closed and replaced when one of them ends.
	activeRequests map[string]int
	requestEnded   chan struct{}
	// runCounts counts the started completions by request id.
	runCounts         map[string]int
	requestsWithoutID int
}

// EngineCapabilities returns all capabilities that Engine implements.
func EngineCapabilities() []upstreamapi.Capability {
	return []upstreamapi.Capability{
		upstreamapi.CapabilityCacheEvents,
		upstreamapi.CapabilityPriority,
		upstreamapi.CapabilityOrders,
		upstreamapi.CapabilityAdapters,
		upstreamapi.CapabilityVersions,
		upstreamapi.CapabilityRoles,
		upstreamapi.CapabilityOrderStatus,
		upstreamapi.CapabilityOrderExpiry,
		upstreamapi.CapabilityRequestStatus,
		upstreamapi.CapabilityResume,
		upstreamapi.CapabilityContinue,
		upstreamapi.CapabilityCancel,
		upstreamapi.CapabilityKVExport,
		upstreamapi.CapabilityKVImport,
	}
}

// NewEngine starts an engine that announces itself until Close. It panics if
// the resident models do not fit the accelerators.
func NewEngine(options EngineOptions) *Engine {
	if options.Clock == nil {
		options.Clock = SystemClock{}
	}
	if options.Incarnation == 0 {
		options.Incarnation = uint64(options.Clock.Now().UnixNano())
	}
	if options.Capabilities == nil {
		options.Capabilities = EngineCapabilities()
		if options.ResumeWindow == 0 {
			options.Capabilities = slices.DeleteFunc(options.Capabilities, func(c upstreamapi.Capability) bool {
				return c == upstreamapi.CapabilityResume
			})
		}
	}
	e := &Engine{
		options:        options,
		clock:          options.Clock,
		handler:        newEcho(),
		slots:          slots{limit: options.MaxRunning, queueLimit: options.MaxWaiting},
		memory:         newMemory(options.Accelerators, options.Resident),
		cache:          newPrefixCache(options.CachedPrefixes),
		cacheChanged:   make(chan struct{}, 1),
		activeRequests: map[string]int{},
		requestEnded:   make(chan struct{}),
		runCounts:      map[string]int{},
	}
	e.backgroundCtx, e.cancelBackground = context.WithCancel(context.Background())
	e.registerRoutes()
	e.announcer = newAnnouncer(options.Announce, options.Clock, e.announcement)
	e.background.Go(e.publishCacheEvents)
	return e
}

func (e *Engine) registerRoutes() {
	e.handler.POST("/v1/chat/completions", e.completions)
	e.handler.POST("/v1/completions", e.completions)
	e.handler.GET("/v1/models", e.listModels)

	control := e.handler.Group("", e.authorize)
	control.POST(upstreamapi.OrdersPath, e.handleOrder, e.requireCapability(upstreamapi.CapabilityOrders))
	control.GET(upstreamapi.OrdersPath+"/:id", e.orderStatus, e.requireCapability(upstreamapi.CapabilityOrderStatus))
	request := upstreamapi.RequestsPath + "/:id"
	control.GET(request, e.requestStatus, e.requireCapability(upstreamapi.CapabilityRequestStatus))
	control.DELETE(request, e.cancelRequest, e.requireCapability(upstreamapi.CapabilityCancel))
	control.GET(request+upstreamapi.StreamSuffix, e.resumeStream, e.requireCapability(upstreamapi.CapabilityResume))
	control.POST(upstreamapi.KVExportsPath, e.exportKV, e.requireCapability(upstreamapi.CapabilityKVExport))
	control.POST(upstreamapi.KVImportsPath, e.importKV, e.requireCapability(upstreamapi.CapabilityKVImport))
}

// authorize rejects a call without the configured order token.
func (e *Engine) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token := strings.TrimPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if e.options.OrderToken != "" && subtle.ConstantTimeCompare([]byte(token), []byte(e.options.OrderToken)) != 1 {
			return respondProblem(c, http.StatusUnauthorized, "standin: the bearer token is wrong")
		}
		return next(c)
	}
}

// requireCapability rejects a call for a capability that the engine lacks.
func (e *Engine) requireCapability(capability upstreamapi.Capability) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if !e.supports(capability) {
				return respondProblem(c, http.StatusNotImplemented, "standin: the engine lacks "+string(capability))
			}
			return next(c)
		}
	}
}

func (e *Engine) supports(capability upstreamapi.Capability) bool {
	return slices.Contains(e.options.Capabilities, capability)
}

func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// Close sends a Leave to an instance and abandons the orders in progress.
// Active requests are still answered. If no instance is reachable, Close
// returns an error.
func (e *Engine) Close(ctx context.Context) error {
	err := e.announcer.Close(ctx)
	e.cancelBackground()
	e.background.Wait()
	return err
}

// Announced returns the number of announcements that instances have accepted.
func (e *Engine) Announced() uint64 {
	return e.announcer.Accepted()
}

// Runs returns the number of started completions for a request id.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runCounts[id]
}

// Announcement returns the engine's current announcement without a sequence.
func (e *Engine) Announcement() upstreamapi.Announcement {
	return e.announcement()
}

func (e *Engine) announcement() upstreamapi.Announcement {
	running, waiting := e.slots.Counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	accelerators, residents := e.memory.inventory()
	authorization := upstreamapi.AuthorizationIgnored
	if e.options.OrderToken != "" {
		authorization = upstreamapi.AuthorizationBearer
	}
	return upstreamapi.Announcement{
		Name:               e.options.Name,
		Incarnation:        e.options.Incarnation,
		Address:            e.options.Address,
		Kind:               upstreamapi.KindEngine,
		FailureDomain:      e.options.FailureDomain,
		Fencing:            e.options.Fencing,
		OrderAuthorization: authorization,
		Capabilities:       slices.Clone(e.options.Capabilities),
		Revision:           e.orders.revision,
		Accelerators:       accelerators,
		Resident:           residents,
		Role:               e.memory.role,
		RoleMemoryBytes:    e.memory.roleBytes,
		HighestFencing:     e.orders.highestFencing,
		UnderWay:           e.orders.UnderWay(),
		Load: upstreamapi.Load{
			Clock:         e.clock.Now(),
			Running:       running,
			Waiting:       waiting,
			MaxRunning:    e.options.MaxRunning,
			TokenInterval: e.options.TokenDelay,
		},
	}
}

func (e *Engine) listModels(c echo.Context) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, resident := range e.announcement().Resident {
		list.Data = append(list.Data, modelEntry{ID: resident.Model, Object: "model", OwnedBy: e.options.Name})
		for _, adapter := range resident.Adapters {
			list.Data = append(list.Data, modelEntry{ID: adapter, Object: "model", OwnedBy: resident.Model})
		}
	}
	return c.JSON(http.StatusOK, list)
}

// wait returns nil after d, or an error if ctx ends first.
func wait(ctx context.Context, clock Clock, d time.Duration) error {
	if d <= 0 {
		return errors.Wrap(ctx.Err(), "standin: given up")
	}
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "standin: given up")
	case <-clock.After(d):
		return nil
	}
}

// respondProblem rejects a call of the upstream API.
func respondProblem(c echo.Context, status int, findings ...string) error {
	return c.JSON(status, upstreamapi.Problem{Findings: findings})
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}
