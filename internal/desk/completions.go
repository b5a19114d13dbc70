package desk

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/quota"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// handleCompletion handles POST /v1/chat/completions and POST /v1/completions.
func (s *Server) handleCompletion(c echo.Context) error {
	r := c.Request()
	body, err := s.readBody(c.Response(), r)
	if err != nil {
		return err
	}
	completion, err := parseCompletion(body)
	if err != nil {
		return err
	}
	admitted, refusal := s.admit(r.Header, r.Header.Get(serviceHeader), completion.Model)
	if refusal != nil {
		return refusal
	}
	return s.serveTask(c, task{
		id:          newRequestID(),
		digest:      digestOf(r, body),
		parts:       partsOf(completion),
		service:     admitted.service,
		requirement: requirement{model: completion.Model},
		request: shuttle.Request{
			Method: r.Method,
			Target: r.URL.RequestURI(),
			Header: upstreamHeader(r.Header, admitted.workspace),
			Body:   body,
			// A completion has no side effects unless its service declares them: running it
			// twice costs only tokens.
			Idempotent: !admitted.declared.NonIdempotent,
			Streamed:   completion.Stream,
			Priority:   admitted.goal.Priority,
		},
		admitted:       admitted,
		size:           quota.Size{Tokens: len(body)/bytesPerToken + completion.maxTokens(), Stated: true},
		arrivedAt:      admitted.arrivedAt,
		deadline:       admitted.deadline,
		needsDoneEvent: true,
	})
}

// handleServiceCall handles calls of plain services, /services/{name}/….
func (s *Server) handleServiceCall(c echo.Context) error {
	r := c.Request()
	body, err := s.readBody(c.Response(), r)
	if err != nil {
		return err
	}
	admitted, refusal := s.admit(r.Header, c.Param("name"), "")
	if refusal != nil {
		return refusal
	}
	target := serviceTarget(r)
	return s.serveTask(c, task{
		id:          newRequestID(),
		digest:      digestOf(r, body),
		service:     admitted.service,
		requirement: requirement{service: admitted.service},
		request: shuttle.Request{
			Method:     r.Method,
			Target:     target,
			Header:     upstreamHeader(r.Header, admitted.workspace),
			Body:       body,
			Idempotent: admitted.declared.MayRepeat(r.Method, calledPath(r)),
			Priority:   admitted.goal.Priority,
		},
		admitted:  admitted,
		arrivedAt: admitted.arrivedAt,
		deadline:  admitted.deadline,
	})
}

// serveTask serves a task, at most once if it has an idempotency key and must not run twice. It
// refuses a quarantined request.
func (s *Server) serveTask(c echo.Context, task task) error {
	task.admission = s.options.CrashDetector.Admit(task.digest, task.parts...)
	if ruling, allowed := task.admission.Reserve(c.Request().Context()); !allowed {
		return s.quarantineRefusal(task, ruling)
	}
	if refusal := s.bindToVersion(&task); refusal != nil {
		return refusal
	}
	if refusal := s.workspaces.charge(s.options.Now(), task.admitted.workspace, task.size); refusal != nil {
		return refusal
	}
	err := s.serveCharged(c, task)
	var refusal *RefusalError
	if errors.As(err, &refusal) && refusal.Outcome == outcome.NotRun {
		s.workspaces.refund(s.options.Now(), task.admitted.workspace, task.size)
	}
	return err
}

// serveCharged serves a task that is charged to the quota of its workspace.
func (s *Server) serveCharged(c echo.Context, task task) error {
	key := c.Request().Header.Get(KeyHeader)
	if key == "" || task.request.Idempotent {
		return s.serveUnclaimed(c, task)
	}
	return s.serveClaimed(c, task, key)
}

// serviceTarget returns the path below /services/{name} and the query, with the caller's
// escaping.
func serviceTarget(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	_, path, _ := strings.Cut(rest, "/")
	target := "/" + path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return target
}

// calledPath returns the unescaped path below /services/{name}.
func calledPath(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.Path, "/services/")
	_, path, _ := strings.Cut(rest, "/")
	return "/" + path
}

const requestIDBytes = 8

// newRequestID returns a random request ID.
func newRequestID() string {
	var id [requestIDBytes]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
