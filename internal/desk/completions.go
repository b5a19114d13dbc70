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
	return d.serve(c, task{
		id:   newRequestID(),
		need: need{model: request.Model},
		request: shuttle.Request{
			Method: r.Method,
			Target: r.URL.RequestURI(),
			Header: r.Header,
			Body:   body,
			// A completion changes nothing: run twice, it costs tokens only.
			Idempotent: true,
		},
		deadline: d.options.Now().Add(d.options.Limits.Deadline),
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
	return d.serve(c, task{
		id:   newRequestID(),
		need: need{service: c.Param("name")},
		request: shuttle.Request{
			Method:     r.Method,
			Target:     serviceTarget(r),
			Header:     r.Header,
			Body:       body,
			Idempotent: isSafeMethod(r.Method),
		},
		deadline: d.options.Now().Add(d.options.Limits.Deadline),
	})
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

// isSafeMethod reports whether a call of method changes nothing by its
// definition (RFC 9110, section 9.2.1). All others count as not idempotent
// unless a declaration says otherwise.
func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

const requestIDBytes = 8

// newRequestID returns a random name for a request.
func newRequestID() string {
	var id [requestIDBytes]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
