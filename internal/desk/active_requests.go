package desk

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

// entriesPath lists the instances for callers. It is exempt from the limit of concurrent
// requests, as callers use it to find a less loaded instance.
const entriesPath = "/v1/entries"

// limitActiveRequests refuses requests beyond the limit before reading their bodies.
//
// Each request in progress holds its body and one or two connections. Without the limit,
// callers that reconnect after other instances fail could exhaust memory or file descriptors
// here; the process would end and lose all requests in progress.
func (s *Server) limitActiveRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		limit := s.options.Limits.MaxActiveRequests
		if limit == 0 || s.ActiveRequests() <= limit || c.Path() == entriesPath {
			return next(c)
		}
		return &RefusalError{
			Status:     http.StatusServiceUnavailable,
			Code:       CodeOverloaded,
			Message:    fmt.Sprintf("%d requests are in progress at this instance; use another", limit),
			Outcome:    outcome.NotRun,
			RetryAfter: defaultRetryAfter,

			OtherAddresses: s.otherAddresses(callerOf(c)),
		}
	}
}

// otherAddresses returns the addresses of other instances that a caller may use.
func (s *Server) otherAddresses(caller string) []string {
	var addresses []string
	for _, entry := range s.options.Instance.Entries(s.options.Now(), caller).Instances {
		if entry.Name != s.options.Name {
			addresses = append(addresses, entry.Address)
		}
	}
	return addresses
}
