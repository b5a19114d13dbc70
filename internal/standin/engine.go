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

// EngineOptions are the settings of a stand-in engine.
type EngineOptions struct {
	// Name, Address and FailureDomain are announced as they are.
	Name          string
	Address       string
	FailureDomain string
	// Incarnation is announced. If it is 0, the nanoseconds of the clock at the
	// start take its place, so that it grows with each start.
	Incarnation uint64
	// Fencing says whether the engine refuses an order with an old fencing
	// number.
	Fencing      upstreamapi.Fencing
	Accelerators []upstreamapi.Accelerator
	// Resident are the models that are loaded from the start. They must fit.
	Resident []upstreamapi.Resident
	// Capabilities are what the engine speaks. If it is nil, it speaks all that
	// EngineCapabilities returns, but for resuming if ResumeWindow is 0.
	Capabilities []upstreamapi.Capability
	// OrderToken is the bearer token that orders must carry, unless it is empty.
	OrderToken string
	// FirstTokenDelay passes before the first token of an answer, and TokenDelay
	// before each that follows. PrefillTokenDelay is added to the first for each
	// token of the prompt that is not in the prefix cache.
	FirstTokenDelay   time.Duration
	TokenDelay        time.Duration
	PrefillTokenDelay time.Duration
	// LoadDelay is how long a load, a change of version or a change of role
	// takes, and UnloadDelay how long an unload does.
	LoadDelay   time.Duration
	UnloadDelay time.Duration
	// MaxRunning is the most requests that run at once, 0 for no limit.
	// MaxWaiting is the most that wait beyond; one more is refused.
	MaxRunning int
	MaxWaiting int
	// ResumeWindow is how long an answer goes on without a connection. If it is
	// 0, an answer ends with its connection.
	ResumeWindow time.Duration
	// CachedPrefixes is the most prefixes that the prefix cache keeps.
	CachedPrefixes int
	Faults         EngineFaults
	Announce       AnnounceOptions
	// Clock is the machine's if it is nil.
	Clock Clock
}

// EngineFaults are what goes wrong at an engine. The zero value is none. Its
// functions must be safe for concurrent use.
type EngineFaults struct {
	// LoseOrderAnswer tells whether the connection is cut after the order was
	// taken and before it is answered.
	LoseOrderAnswer func(upstreamapi.Order) bool
	// LoseCacheEvent tells whether the event of that number is never published.
	LoseCacheEvent func(number uint64) bool
	// CacheEventDelay passes before cache events are published.
	CacheEventDelay time.Duration
	// CutStreamAfter cuts a connection after that many events, unless it is 0.
	CutStreamAfter int
	// SilentAfter sends nothing more on a connection after that many events, and
	// leaves it open, unless it is 0. The answer goes on being made.
	SilentAfter int
}

// Engine is a stand-in for a model engine. It answers each completion with the
// words of the last message, so that a caller can tell whether it got the whole
// answer to its own request. It is safe for concurrent use.
type Engine struct {
	options   EngineOptions
	clock     Clock
	handler   *echo.Echo
	announcer *announcer
	slots     slots
	// stop ends what runs in the background, which background awaits.
	ctx        context.Context
	stop       context.CancelFunc
	background sync.WaitGroup
	// cacheChanged wakes the publisher of cache events.
	cacheChanged chan struct{}

	mu     sync.Mutex
	memory *memory
	orders orderLog
	cache  *prefixCache
	log    requestLog
	// busy counts the requests, waiting ones included, by what they use. idle is
	// closed and replaced when one of them ends.
	busy map[string]int
	idle chan struct{}
	// runs counts the completions that were begun, by request id.
	runs map[string]int
	// unnamed counts the requests that came without an id.
	unnamed int
}

// EngineCapabilities returns all that a stand-in engine speaks.
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

// NewEngine returns an engine that has started to announce itself. Close ends
// that. If the residents do not fit the accelerators, NewEngine panics.
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
		options:      options,
		clock:        options.Clock,
		handler:      newEcho(),
		slots:        slots{limit: options.MaxRunning, queueLimit: options.MaxWaiting},
		memory:       newMemory(options.Accelerators, options.Resident),
		cache:        newPrefixCache(options.CachedPrefixes),
		cacheChanged: make(chan struct{}, 1),
		busy:         map[string]int{},
		idle:         make(chan struct{}),
		runs:         map[string]int{},
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.route()
	e.announcer = newAnnouncer(options.Announce, options.Clock, e.announcement)
	e.background.Go(e.publish)
	return e
}

func (e *Engine) route() {
	e.handler.POST("/v1/chat/completions", e.completions)
	e.handler.POST("/v1/completions", e.completions)
	e.handler.GET("/v1/models", e.models)

	inner := e.handler.Group("", e.authorize)
	inner.POST(upstreamapi.OrdersPath, e.order, e.needs(upstreamapi.CapabilityOrders))
	inner.GET(upstreamapi.OrdersPath+"/:id", e.orderStatus, e.needs(upstreamapi.CapabilityOrderStatus))
	request := upstreamapi.RequestsPath + "/:id"
	inner.GET(request, e.requestStatus, e.needs(upstreamapi.CapabilityRequestStatus))
	inner.DELETE(request, e.cancelRequest, e.needs(upstreamapi.CapabilityCancel))
	inner.GET(request+upstreamapi.StreamSuffix, e.resumeStream, e.needs(upstreamapi.CapabilityResume))
	inner.POST(upstreamapi.KVExportsPath, e.exportKV, e.needs(upstreamapi.CapabilityKVExport))
	inner.POST(upstreamapi.KVImportsPath, e.importKV, e.needs(upstreamapi.CapabilityKVImport))
}

// authorize refuses a call without the token of the options.
func (e *Engine) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token := strings.TrimPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if e.options.OrderToken != "" && subtle.ConstantTimeCompare([]byte(token), []byte(e.options.OrderToken)) != 1 {
			return problem(c, http.StatusUnauthorized, "standin: the bearer token is wrong")
		}
		return next(c)
	}
}

// needs refuses a call for a capability that the engine lacks.
func (e *Engine) needs(capability upstreamapi.Capability) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if !e.can(capability) {
				return problem(c, http.StatusNotImplemented, "standin: the engine lacks "+string(capability))
			}
			return next(c)
		}
	}
}

func (e *Engine) can(capability upstreamapi.Capability) bool {
	return slices.Contains(e.options.Capabilities, capability)
}

// ServeHTTP answers a request of the system.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// Close tells an instance that the engine leaves, and gives up the orders that
// are under way. Requests that run are still answered. If no instance can be
// told, Close returns why.
func (e *Engine) Close(ctx context.Context) error {
	err := e.announcer.Close(ctx)
	e.stop()
	e.background.Wait()
	return err
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

// Announcement returns the engine's present announcement without a sequence.
func (e *Engine) Announcement() upstreamapi.Announcement {
	return e.announcement()
}

func (e *Engine) announcement() upstreamapi.Announcement {
	running, waiting := e.slots.Counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	accelerators, residents := e.memory.announced()
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

// wait returns nil after d has passed, or an error if ctx ends before.
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

// problem answers a call of the upstream interface that is refused.
func problem(c echo.Context, status int, findings ...string) error {
	return c.JSON(status, upstreamapi.Problem{Findings: findings})
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}
