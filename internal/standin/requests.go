package standin

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

func (e *Engine) find(id string) logEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.log.Find(id)
}

// requestStatus answers what became of a request.
func (e *Engine) requestStatus(c echo.Context) error {
	id := c.Param("id")
	return c.JSON(http.StatusOK, e.find(id).Status(id))
}

// cancelRequest cancels a request, or bars the id of one that has not arrived.
// It answers once the request will make no more tokens.
func (e *Engine) cancelRequest(c echo.Context) error {
	id := c.Param("id")
	entry := e.bar(id)
	if entry.run == nil {
		return c.JSON(http.StatusOK, entry.Status(id))
	}
	entry.run.cancel()
	for {
		p := entry.run.Progress()
		if p.state != upstreamapi.RequestWaiting && p.state != upstreamapi.RequestRunning {
			return c.JSON(http.StatusOK, entry.Status(id))
		}
		select {
		case <-p.changed:
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		}
	}
}

// bar returns what is known of a request, after it has barred one that was never
// seen.
func (e *Engine) bar(id string) logEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.log.Find(id).state == upstreamapi.RequestNeverSeen {
		e.log.Add(id, logEntry{state: upstreamapi.RequestBarred})
	}
	return e.log.Find(id)
}

// resumeStream goes on with a stream after the event that the caller has last
// got. The connection that carried it before is cut.
func (e *Engine) resumeStream(c echo.Context) error {
	id := c.Param("id")
	entry := e.find(id)
	if entry.run == nil {
		return problem(c, http.StatusNotFound, "standin: the request "+id+" has no stream: "+string(entry.state))
	}
	after := entry.run.answer.first
	if last := c.Request().Header.Get(upstreamapi.LastEventIDHeader); last != "" {
		parsed, err := strconv.Atoi(last)
		if err != nil || parsed < after || parsed > len(entry.run.answer.tokens)+1 {
			return problem(c, http.StatusUnprocessableEntity, "standin: the stream has no event "+last)
		}
		after = parsed
	}
	return e.stream(c, entry.run, after)
}
