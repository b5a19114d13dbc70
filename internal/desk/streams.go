package desk

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

// entriesPath tells callers which instances to use. It is answered whatever the
// number of requests in progress: it is how callers find a less busy instance.
const entriesPath = "/v1/entries"

// limitStreams refuses requests beyond the limit before anything of them is read.
//
// Each request in progress holds its body and a connection or two. Without the
// limit, callers that come back after the loss of other instances would exhaust
// memory or file descriptors here, and all requests in progress would be lost
// with the process.
func (d *Desk) limitStreams(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		limit := d.options.Limits.Streams
		if limit == 0 || d.Streams() <= limit || c.Path() == entriesPath {
			return next(c)
		}
		refusal := &RefusalError{
			Status:     http.StatusServiceUnavailable,
			Code:       CodeOverloaded,
			Message:    fmt.Sprintf("%d requests are in progress at this instance; use another", limit),
			Outcome:    outcome.NotRun,
			RetryAfter: retryLater,
		}
		for _, entry := range d.options.Instance.Entries(d.options.Now(), callerOf(c)).List {
			if entry.Name != d.options.Name {
				refusal.Others = append(refusal.Others, entry.Address)
			}
		}
		return refusal
	}
}
