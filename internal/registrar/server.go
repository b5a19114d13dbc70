package registrar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/outcome"
)

// DefaultBodyBytes limits a request body. Canonical declarations of 1,700 models
// with five adapters each take about 3 MB.
const DefaultBodyBytes = 16 << 20

// DefaultChangeTimeout exceeds the 4 s within which a change becomes active, even
// across a leader change, and is below the timeout of operators' commands.
const DefaultChangeTimeout = 5 * time.Second

const operatorContextKey = "operator"

// Options configures a Server.
type Options struct {
	ConfigStore ConfigStore
	Instance    Instance
	// Metrics serves GET /metrics. Nil disables the endpoint.
	Metrics http.Handler
	// Preview serves plan --placement. Nil disables the endpoint.
	Preview Preview
	// QuarantineStore serves the quarantine endpoints. Nil disables them.
	QuarantineStore QuarantineStore
	// VoterManager serves the voter endpoints. Nil disables them.
	VoterManager VoterManager
	// OperatorByToken returns the name of the operator that a token belongs to.
	OperatorByToken func(token string) (string, bool)
	// BodyBytes limits the size of a request body. 0 means DefaultBodyBytes.
	BodyBytes int64
	// ChangeTimeout limits how long a change waits to be accepted. 0 means
	// DefaultChangeTimeout.
	ChangeTimeout time.Duration
	// Now returns the current time.
	Now func() time.Time
	Log zerolog.Logger
}

// Server is the HTTP handler of the admin API. It is safe for concurrent use.
type Server struct {
	options Options
	echo    *echo.Echo
}

// New returns a Server.
func New(options Options) *Server {
	if options.BodyBytes == 0 {
		options.BodyBytes = DefaultBodyBytes
	}
	if options.ChangeTimeout == 0 {
		options.ChangeTimeout = DefaultChangeTimeout
	}
	s := &Server{options: options, echo: echo.New()}
	s.echo.Use(s.authenticate)
	s.echo.GET(healthPath, s.health)
	s.echo.GET(readyPath, s.ready)
	s.echo.GET(activeConfigPath, s.activeConfig)
	s.echo.POST(changesPath, s.proposeChange)
	s.echo.GET(statusPath, s.status)
	s.echo.POST(drainPath, s.drain)
	if options.Preview != nil {
		s.echo.POST(movesPath, s.moves)
	}
	if options.Metrics != nil {
		s.echo.GET(metricsPath, echo.WrapHandler(options.Metrics))
	}
	if options.QuarantineStore != nil {
		quarantineHandlers{store: options.QuarantineStore, now: options.Now, log: options.Log}.register(s.echo)
	}
	if options.VoterManager != nil {
		s.echo.GET(votersPath, s.voters)
		s.echo.POST(votersPath, s.changeVoters)
		s.echo.POST(bootstrapPath, s.bootstrap)
	}
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	s.echo.ServeHTTP(w, request)
}

func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if c.Path() == healthPath || c.Path() == readyPath {
			return next(c)
		}
		token, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		operator, known := s.options.OperatorByToken(token)
		if !known {
			s.options.Log.Warn().Str("from", c.Request().RemoteAddr).Msg("rejected an admin request: token is missing or wrong")
			return writeFailure(c, http.StatusUnauthorized, outcome.NotRun, failure{
				Code: codeUnauthorized, Message: "the operators' token is missing or wrong",
			})
		}
		c.Set(operatorContextKey, operator)
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, s.options.BodyBytes)
		return next(c)
	}
}

// health is the liveness probe. It succeeds as long as the process serves HTTP.
func (s *Server) health(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

// ready is the readiness probe. It reports whether the instance accepts new
// requests. Like health, it requires no token, since process supervisors have
// none, and therefore discloses nothing else.
func (s *Server) ready(c echo.Context) error {
	status := s.options.Instance.Status(s.options.Now())
	switch {
	case status.Draining:
		return c.String(http.StatusServiceUnavailable, "draining\n")
	case !status.HasConfigLease:
		return c.String(http.StatusServiceUnavailable, "cannot confirm its configuration\n")
	default:
		return c.String(http.StatusOK, "ready\n")
	}
}

func (s *Server) activeConfig(c echo.Context) error {
	config := s.options.activeConfig()
	reply := activeConfigReply{Revision: config.Revision, Preset: config.Preset, HasConfigLease: config.HasConfigLease}
	if config.Revision > 0 {
		reply.Declarations = config.Declarations.Canonical()
	}
	return c.JSON(http.StatusOK, reply)
}

// activeConfig returns the active configuration at the current time.
func (o Options) activeConfig() ActiveConfig {
	return o.ConfigStore.ActiveConfig(o.Now())
}

func (s *Server) status(c echo.Context) error {
	return c.JSON(http.StatusOK, s.options.Instance.Status(s.options.Now()))
}

func (s *Server) drain(c echo.Context) error {
	operator, _ := c.Get(operatorContextKey).(string)
	s.options.Log.Info().Str("by", operator).Msg("operator requested a drain")
	s.options.Instance.Drain(operator)
	return c.JSON(http.StatusAccepted, drainReply{ActiveRequests: s.options.Instance.Status(s.options.Now()).ActiveRequests})
}

func (s *Server) proposeChange(c echo.Context) error {
	change, rejected := s.parseChange(c)
	if rejected != nil {
		return rejected.write(c)
	}
	operator, _ := c.Get(operatorContextKey).(string)
	change.Operator = operator
	change.RequestedAt = s.options.Now()
	// Without a quorum of voters, ConfigStore.Change retries until its context ends.
	// If only the client's own timeout ended it, the operator would get the outcome
	// "unknown" for a change that was never proposed.
	ctx, cancel := context.WithTimeout(c.Request().Context(), s.options.ChangeTimeout)
	defer cancel()
	result, err := s.options.ConfigStore.Change(ctx, change)
	s.logChange(change, result, err)
	if err != nil {
		return writeChangeError(c, err)
	}
	c.Response().Header().Set(outcome.Header, outcome.Ran.String())
	return c.JSON(http.StatusOK, changeReply(result))
}

func (s *Server) logChange(change Change, result ChangeResult, err error) {
	event := s.options.Log.Info()
	if err != nil {
		event = s.options.Log.Warn().Err(err)
	}
	event.Str("by", change.Operator).Str("change-id", change.ID).Uint64("expected-revision", change.ExpectedRevision).
		Uint64("revision", result.Revision).Str("summary", change.Summary).Msg("configuration change")
}

// rejection is the response to a change that is rejected before it is proposed.
type rejection struct {
	status  int
	failure failure
}

func (r *rejection) write(c echo.Context) error {
	return writeFailure(c, r.status, outcome.NotRun, r.failure)
}

func badRequest(status int, message string) *rejection {
	return &rejection{status: status, failure: failure{Code: codeBadRequest, Message: message}}
}

func (s *Server) parseChange(c echo.Context) (Change, *rejection) {
	body, err := io.ReadAll(c.Request().Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return Change{}, badRequest(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is above %d bytes", tooLarge.Limit))
	}
	if err != nil {
		return Change{}, badRequest(http.StatusBadRequest, "the body was cut off: "+err.Error())
	}
	var request changeRequest
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return Change{}, badRequest(http.StatusBadRequest, "the body is no change: "+err.Error())
	}
	if decoder.More() {
		return Change{}, badRequest(http.StatusBadRequest, "the body goes on after the change")
	}
	if problems := request.problems(); len(problems) > 0 {
		return Change{}, badRequest(http.StatusBadRequest, strings.Join(problems, "; "))
	}
	change := Change{
		ID: request.ChangeID, ExpectedRevision: *request.ExpectedRevision,
		Declarations: request.Declarations, Preset: request.Preset,
	}
	return s.checkAndSummarize(change)
}

func (request changeRequest) problems() []string {
	var problems []string
	if request.ChangeID == "" || len(request.ChangeID) > maxChangeIDBytes {
		problems = append(problems, fmt.Sprintf("change-id must have from 1 to %d bytes", maxChangeIDBytes))
	}
	if request.ExpectedRevision == nil {
		problems = append(problems, "expected-revision is missing")
	}
	if len(request.Declarations) == 0 && request.Preset == "" {
		problems = append(problems, "neither declarations nor preset is there, so nothing would change")
	}
	return problems
}

// checkAndSummarize checks the declarations of change and fills in its summary.
// They are checked again, together with the preset, when the change is applied.
func (s *Server) checkAndSummarize(change Change) (Change, *rejection) {
	var parts []string
	if len(change.Declarations) > 0 {
		set, err := declaration.Decode(change.Declarations)
		if err != nil {
			return change, rejectDeclarations(err)
		}
		parts = append(parts, summarizeDiff(declaration.Diff(s.options.activeConfig().Declarations, set)))
	}
	if change.Preset != "" {
		parts = append(parts, "preset "+change.Preset)
	}
	change.Summary = strings.Join(parts, "; ")
	return change, nil
}

// maxSummaryItems limits how many changed items a summary names.
const maxSummaryItems = 4

func summarizeDiff(changes []declaration.Change) string {
	if len(changes) == 0 {
		return "the same declarations"
	}
	var shown []string
	for _, change := range changes[:min(len(changes), maxSummaryItems)] {
		shown = append(shown, change.String())
	}
	if omitted := len(changes) - maxSummaryItems; omitted > 0 {
		shown = append(shown, fmt.Sprintf("and %d more", omitted))
	}
	return strings.Join(shown, ", ")
}

func rejectDeclarations(err error) *rejection {
	var findings *finding.Error
	if !errors.As(err, &findings) {
		return &rejection{status: http.StatusUnprocessableEntity, failure: failure{Code: codeRefused, Message: err.Error()}}
	}
	return &rejection{status: http.StatusUnprocessableEntity, failure: failure{
		Code: codeRefused, Message: "the declarations are wrong", Findings: findingReplies(findings.Findings),
	}}
}

func writeChangeError(c echo.Context, err error) error {
	var conflict *ConflictError
	var refused *RefusedError
	var unavailable *UnavailableError
	switch {
	case errors.As(err, &conflict):
		reply := conflictReply(*conflict)
		return writeFailure(c, http.StatusConflict, outcome.NotRun, failure{
			Code: codeConflict, Message: conflict.Error(), Conflict: &reply,
		})
	case errors.As(err, &refused):
		return writeFailure(c, http.StatusUnprocessableEntity, outcome.NotRun, failure{
			Code: codeRefused, Message: refused.Reason, Findings: findingReplies(refused.Findings),
		})
	case errors.As(err, &unavailable):
		if unavailable.RetryAfter > 0 {
			seconds := (unavailable.RetryAfter + time.Second - 1) / time.Second
			c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int(seconds)))
		}
		return writeFailure(c, http.StatusServiceUnavailable, outcome.NotRun, failure{Code: codeUnavailable, Message: unavailable.Reason})
	default:
		return writeFailure(c, http.StatusGatewayTimeout, outcome.Unknown, failure{Code: codeUnknown, Message: err.Error()})
	}
}

func writeFailure(c echo.Context, status int, o outcome.Outcome, body failure) error {
	c.Response().Header().Set(outcome.Header, o.String())
	return c.JSON(status, failureReply{Error: body})
}
