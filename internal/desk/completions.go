package desk

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// completions answers POST /v1/chat/completions and POST /v1/completions.
func (d *Desk) completions(c echo.Context) error {
	r := c.Request()
	body, err := d.readBody(c.Response(), r)
	if err != nil {
		return err
	}
	request, err := parseCompletion(body)
	if err != nil {
		return err
	}
	admitted, refusal := d.admit(r.Header.Get(serviceHeader), request.Model)
	if refusal != nil {
		return refusal
	}
	return d.dispatch(c, task{
		id:      newRequestID(),
		digest:  digestOf(r, body),
		service: admitted.name,
		need:    need{model: request.Model},
		request: shuttle.Request{
			Method: r.Method,
			Target: r.URL.RequestURI(),
			Header: r.Header,
			Body:   body,
			// A completion changes nothing, unless its service says so: run
			// twice, it costs tokens only.
			Idempotent: !admitted.declared.NonIdempotent,
			Streamed:   request.Stream,
			Priority:   admitted.goal.Priority,
		},
		admitted: admitted,
		arrived:  admitted.arrived,
		deadline: admitted.deadline,
		events:   true,
	})
}

// services answers the calls of plain services, /services/{name}/….
func (d *Desk) services(c echo.Context) error {
	r := c.Request()
	body, err := d.readBody(c.Response(), r)
	if err != nil {
		return err
	}
	admitted, refusal := d.admit(c.Param("name"), "")
	if refusal != nil {
		return refusal
	}
	target := serviceTarget(r)
	return d.dispatch(c, task{
		id:      newRequestID(),
		digest:  digestOf(r, body),
		service: admitted.name,
		need:    need{service: admitted.name},
		request: shuttle.Request{
			Method:     r.Method,
			Target:     target,
			Header:     r.Header,
			Body:       body,
			Idempotent: admitted.declared.MayRepeat(r.Method, calledPath(r)),
			Priority:   admitted.goal.Priority,
		},
		admitted: admitted,
		arrived:  admitted.arrived,
		deadline: admitted.deadline,
	})
}

// dispatch serves a task once if it has a key and must not run twice.
func (d *Desk) dispatch(c echo.Context, task task) error {
	if d.options.Coroner.Holds(task.digest) {
		return d.refuseQuarantined(task)
	}
	key := c.Request().Header.Get(KeyHeader)
	if key == "" || task.request.Idempotent {
		return d.serve(c, task)
	}
	return d.serveOnce(c, task, key)
}

// serviceTarget is the path and query below /services/{name}, escaped as the
// caller escaped it.
func serviceTarget(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	_, path, _ := strings.Cut(rest, "/")
	target := "/" + path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return target
}

// calledPath is the unescaped path below /services/{name}.
func calledPath(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.Path, "/services/")
	_, path, _ := strings.Cut(rest, "/")
	return "/" + path
}

const requestIDBytes = 8

// newRequestID returns a random name for a request.
func newRequestID() string {
	var id [requestIDBytes]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
