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

// idempotencyKeyHeader names a request that must not run twice.
const idempotencyKeyHeader = "Idempotency-Key"

// ServiceOptions are the settings of a stand-in plain service.
type ServiceOptions struct {
	// Name, Address, FailureDomain and Services are announced as they are.
	Name          string
	Address       string
	FailureDomain string
	Services      []string
	// Incarnation is as in EngineOptions.
	Incarnation uint64
	// Delay passes before each answer.
	Delay    time.Duration
	Announce AnnounceOptions
	// Clock is the machine's if it is nil.
	Clock Clock
}

// Service is a stand-in for a plain service. It answers any method at any path
// with the request's own body, and counts what it ran. It is safe for
// concurrent use.
type Service struct {
	options   ServiceOptions
	clock     Clock
	handler   *echo.Echo
	announcer *announcer

	mu      sync.Mutex
	running int
	// runs counts by idempotency key, or by request id where there is no key.
	runs map[string]int
	// total is the sum of all runs.
	total int
}

// NewService returns a service that has started to announce itself. Close ends
// that.
func NewService(options ServiceOptions) *Service {
	if options.Clock == nil {
		options.Clock = SystemClock{}
	}
	if options.Incarnation == 0 {
		options.Incarnation = uint64(options.Clock.Now().UnixNano())
	}
	s := &Service{
		options: options,
		clock:   options.Clock,
		handler: newEcho(),
		runs:    map[string]int{},
	}
	s.handler.Any("/*", s.run)
	s.announcer = newAnnouncer(options.Announce, options.Clock, s.announcement)
	return s
}

// ServeHTTP answers a request of the system.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Close tells an instance that the service leaves. Requests that run are still
// answered. If no instance can be told, Close returns why.
func (s *Service) Close(ctx context.Context) error {
	return s.announcer.Close(ctx)
}

// Announced returns the number of announcements that an instance has taken.
func (s *Service) Announced() uint64 {
	return s.announcer.Accepted()
}

// Runs returns how often a request was run under an idempotency key, or under a
// request id where it had no key.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// TotalRuns returns how many requests were run.
func (s *Service) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
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

// run counts the request as run once its whole body is there, and answers with
// that body.
func (s *Service) run(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return refuse(c, &refusal{http.StatusBadRequest, "invalid_body", "standin: body: " + err.Error()})
	}
	s.begin(c.Request().Header)
	defer s.end()
	if s.options.Delay > 0 {
		select {
		case <-c.Request().Context().Done():
			return errors.Wrap(c.Request().Context().Err(), "standin: caller gone")
		case <-s.clock.After(s.options.Delay):
		}
	}
	if len(body) == 0 {
		return c.JSON(http.StatusOK, serviceAnswer{
			Upstream: s.options.Name,
			Method:   c.Request().Method,
			Path:     c.Request().URL.Path,
		})
	}
	return c.Blob(http.StatusOK, c.Request().Header.Get(echo.HeaderContentType), body)
}

// serviceAnswer answers a request that had no body.
type serviceAnswer struct {
	Upstream string `json:"upstream"`
	Method   string `json:"method"`
	Path     string `json:"path"`
}

func (s *Service) begin(header http.Header) {
	key := header.Get(idempotencyKeyHeader)
	if key == "" {
		key = header.Get(upstreamapi.RequestIDHeader)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.runs[key]++
	s.total++
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
