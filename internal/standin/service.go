package standin

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// idempotencyKeyHeader identifies a request that must not run twice.
const idempotencyKeyHeader = "Idempotency-Key"

// ServiceOptions configure a test double of a plain service.
type ServiceOptions struct {
	// Name, Address, FailureDomain and Services are announced unchanged.
	Name          string
	Address       string
	FailureDomain string
	Services      []string
	// Incarnation is as in EngineOptions.
	Incarnation uint64
	// Delay is the time before each response.
	Delay    time.Duration
	Announce AnnounceOptions
	// Clock defaults to SystemClock.
	Clock Clock
}

// Service is a test double of a plain service. It answers any method on any
// path with the request's body and counts its runs. It is safe for concurrent
// use.
type Service struct {
	options   ServiceOptions
	clock     Clock
	handler   *echo.Echo
	announcer *announcer

	mu      sync.Mutex
	running int
	// runCounts is by idempotency key, or by request id for requests without a
	// key.
	runCounts map[string]int
	// totalRuns is the sum of runCounts.
	totalRuns int
}

// NewService starts a service that announces itself until Close.
func NewService(options ServiceOptions) *Service {
	if options.Clock == nil {
		options.Clock = SystemClock{}
	}
	if options.Incarnation == 0 {
		options.Incarnation = uint64(options.Clock.Now().UnixNano())
	}
	s := &Service{
		options:   options,
		clock:     options.Clock,
		handler:   newEcho(),
		runCounts: map[string]int{},
	}
	s.handler.Any("/*", s.handle)
	s.announcer = newAnnouncer(options.Announce, options.Clock, s.announcement)
	return s
}

func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Close sends a Leave to an instance. Active requests are still answered. If no
// instance is reachable, Close returns an error.
func (s *Service) Close(ctx context.Context) error {
	return s.announcer.Close(ctx)
}

// Announced returns the number of announcements that instances have accepted.
func (s *Service) Announced() uint64 {
	return s.announcer.Accepted()
}

// Runs returns the number of runs for an idempotency key, or for a request id
// if the request had no key.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[key]
}

// TotalRuns returns the number of requests that were run.
func (s *Service) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalRuns
}

func (s *Service) announcement() upstreamapi.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return upstreamapi.Announcement{
		Name:          s.options.Name,
		Incarnation:   s.options.Incarnation,
		Address:       s.options.Address,
		Kind:          upstreamapi.KindService,
		FailureDomain: s.options.FailureDomain,
		Services:      slices.Clone(s.options.Services),
		Load:          upstreamapi.Load{Running: s.running},
	}
}

// handle counts a run once the whole body has arrived, and responds with that
// body.
func (s *Service) handle(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return reject(c, &rejection{http.StatusBadRequest, "invalid_body", "standin: body: " + err.Error()})
	}
	s.startRequest(c.Request().Header)
	defer s.endRequest()
	if s.options.Delay > 0 {
		select {
		case <-c.Request().Context().Done():
			return errors.Wrap(c.Request().Context().Err(), "standin: caller gone")
		case <-s.clock.After(s.options.Delay):
		}
	}
	if len(body) == 0 {
		return c.JSON(http.StatusOK, serviceResponse{
			Upstream: s.options.Name,
			Method:   c.Request().Method,
			Path:     c.Request().URL.Path,
		})
	}
	return c.Blob(http.StatusOK, c.Request().Header.Get(echo.HeaderContentType), body)
}

// serviceResponse is the response to a request without a body.
type serviceResponse struct {
	Upstream string `json:"upstream"`
	Method   string `json:"method"`
	Path     string `json:"path"`
}

func (s *Service) startRequest(header http.Header) {
	runKey := header.Get(idempotencyKeyHeader)
	if runKey == "" {
		runKey = header.Get(upstreamapi.RequestIDHeader)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.runCounts[runKey]++
	s.totalRuns++
}

func (s *Service) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
