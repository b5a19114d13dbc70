package standin

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

func (e *Engine) findRequest(id string) logEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests.Find(id)
}

// requestStatus handles a status query for a request.
func (e *Engine) requestStatus(c echo.Context) error {
	id := c.Param("id")
	return c.JSON(http.StatusOK, e.findRequest(id).Status(id))
}

// cancelRequest cancels a request, or blocks the id of one that has not
// arrived. It responds once the request generates no more tokens.
func (e *Engine) cancelRequest(c echo.Context) error {
	id := c.Param("id")
	entry := e.barRequest(id)
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

// barRequest blocks the id if it has not been seen, and returns the request's
// log entry.
func (e *Engine) barRequest(id string) logEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.requests.Find(id).state == upstreamapi.RequestNeverSeen {
		e.requests.Add(id, logEntry{state: upstreamapi.RequestBarred})
	}
	return e.requests.Find(id)
}

// resumeStream continues a stream after the last event that the client
// received. The previous connection is closed.
func (e *Engine) resumeStream(c echo.Context) error {
	id := c.Param("id")
	entry := e.findRequest(id)
	if entry.run == nil {
		return respondProblem(c, http.StatusNotFound, "standin: the request "+id+" has no stream: "+string(entry.state))
	}
	after := entry.run.answer.continuedTokens
	if last := c.Request().Header.Get(upstreamapi.LastEventIDHeader); last != "" {
		parsed, err := strconv.Atoi(last)
		if err != nil || parsed < after || parsed > len(entry.run.answer.tokens)+1 {
			return respondProblem(c, http.StatusUnprocessableEntity, "standin: the stream has no event "+last)
		}
		after = parsed
	}
	return e.sendStream(c, entry.run, after)
}
