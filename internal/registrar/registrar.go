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

// DefaultBodyBytes bounds a change. Canonical declarations of 1,700 models with
// five adapters each take about 3 MB.
const DefaultBodyBytes = 16 << 20

// DefaultChangeTimeout is above the 4 s within which a change is in force, and a
// change of leader with it, and below what operators' commands wait for.
const DefaultChangeTimeout = 5 * time.Second

// operatorKey is where the name of the operator stands in an echo context.
const operatorKey = "operator"

// Options configures the handlers.
type Options struct {
	Register Register
	House    House
	// Metrics answers GET /metrics. Nil stands for none.
	Metrics http.Handler
	// Preview answers plan --placement. Nil stands for none.
	Preview Preview
	// Quarantine may be nil where requests are not quarantined.
	Quarantine Quarantine
	// Electorate may be nil where operators do not change voters.
	Electorate Electorate
	// Holder returns the name of the operator who holds a token.
	Holder func(token string) (string, bool)
	// BodyBytes bounds the body of a request. 0 stands for DefaultBodyBytes.
	BodyBytes int64
	// ChangeTimeout bounds how long a change waits to be accepted. 0 stands for
	// DefaultChangeTimeout.
	ChangeTimeout time.Duration
	// Now returns the present time.
	Now func() time.Time
	Log zerolog.Logger
}

// Registrar is the handler of operators' calls. It is safe for concurrent use.
type Registrar struct {
	options Options
	echo    *echo.Echo
}

// New returns the handlers.
func New(options Options) *Registrar {
	if options.BodyBytes == 0 {
		options.BodyBytes = DefaultBodyBytes
	}
	if options.ChangeTimeout == 0 {
		options.ChangeTimeout = DefaultChangeTimeout
	}
	r := &Registrar{options: options, echo: echo.New()}
	r.echo.Use(r.checkToken)
	r.echo.GET(healthPath, r.health)
	r.echo.GET(readyPath, r.ready)
	r.echo.GET(inForcePath, r.inForce)
	r.echo.POST(changesPath, r.change)
	r.echo.GET(statusPath, r.status)
	r.echo.POST(drainPath, r.drain)
	if options.Preview != nil {
		r.echo.POST(movesPath, r.moves)
	}
	if options.Metrics != nil {
		r.echo.GET(metricsPath, echo.WrapHandler(options.Metrics))
	}
	if options.Quarantine != nil {
		quarantineHandlers{keeper: options.Quarantine, now: options.Now, log: options.Log}.addTo(r.echo)
	}
	if options.Electorate != nil {
		r.echo.GET(votersPath, r.voters)
		r.echo.POST(votersPath, r.changeVoters)
		r.echo.POST(bootstrapPath, r.bootstrap)
	}
	return r
}

// ServeHTTP answers one call of an operator.
func (r *Registrar) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.echo.ServeHTTP(w, request)
}

func (r *Registrar) checkToken(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if c.Path() == healthPath || c.Path() == readyPath {
			return next(c)
		}
		token, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		name, ok := r.options.Holder(token)
		if !ok {
			r.options.Log.Warn().Str("from", c.Request().RemoteAddr).Msg("operator refused: token is missing or wrong")
			return fail(c, http.StatusUnauthorized, outcome.NotRun, failure{
				Code: codeUnauthorized, Message: "the operators' token is missing or wrong",
			})
		}
		c.Set(operatorKey, name)
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, r.options.BodyBytes)
		return next(c)
	}
}

// health answers as long as the process serves at all.
func (r *Registrar) health(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

// ready tells whether the instance takes new work. Like health it asks for no
// token, since what watches processes has none, and it tells nothing else.
func (r *Registrar) ready(c echo.Context) error {
	status := r.options.House.Status(r.options.Now())
	switch {
	case status.Draining:
		return c.String(http.StatusServiceUnavailable, "draining\n")
	case !status.Fresh:
		return c.String(http.StatusServiceUnavailable, "cannot confirm its configuration\n")
	default:
		return c.String(http.StatusOK, "ready\n")
	}
}

func (r *Registrar) inForce(c echo.Context) error {
	now := r.options.inForceNow()
	reply := inForceReply{Revision: now.Revision, Preset: now.Preset, Fresh: now.Fresh}
	if now.Revision > 0 {
		reply.Declarations = now.Declarations.Canonical()
	}
	return c.JSON(http.StatusOK, reply)
}

// inForceNow returns what is in force at the present time.
func (o Options) inForceNow() InForce {
	return o.Register.InForce(o.Now())
}

func (r *Registrar) status(c echo.Context) error {
	return c.JSON(http.StatusOK, r.options.House.Status(r.options.Now()))
}

func (r *Registrar) drain(c echo.Context) error {
	by, _ := c.Get(operatorKey).(string)
	r.options.Log.Info().Str("by", by).Msg("drain asked for")
	r.options.House.Drain(by)
	return c.JSON(http.StatusAccepted, drainReply{Streams: r.options.House.Status(r.options.Now()).Streams})
}

func (r *Registrar) change(c echo.Context) error {
	change, failed := r.readChange(c)
	if failed != nil {
		return failed.write(c)
	}
	by, _ := c.Get(operatorKey).(string)
	change.By = by
	change.Now = r.options.Now()
	// Without a majority of the voters the register tries on for as long as it
	// may. Left to the client's own time-out, the operator would hear nothing and
	// would be told "unknown" of a change that was never proposed.
	ctx, cancel := context.WithTimeout(c.Request().Context(), r.options.ChangeTimeout)
	defer cancel()
	answer, err := r.options.Register.Change(ctx, change)
	r.logChange(change, answer, err)
	if err != nil {
		return writeChangeError(c, err)
	}
	c.Response().Header().Set(outcome.Header, outcome.Ran.String())
	return c.JSON(http.StatusOK, changeReply(answer))
}

func (r *Registrar) logChange(change Change, answer Answer, err error) {
	event := r.options.Log.Info()
	if err != nil {
		event = r.options.Log.Warn().Err(err)
	}
	event.Str("by", change.By).Str("change-id", change.ID).Uint64("expected-revision", change.Expected).
		Uint64("revision", answer.Revision).Str("summary", change.Summary).Msg("change of configuration")
}

// refusal is an answer to a change that never reached the register.
type refusal struct {
	status  int
	failure failure
}

func (f *refusal) write(c echo.Context) error {
	return fail(c, f.status, outcome.NotRun, f.failure)
}

func badRequest(status int, message string) *refusal {
	return &refusal{status: status, failure: failure{Code: codeBadRequest, Message: message}}
}

func (r *Registrar) readChange(c echo.Context) (Change, *refusal) {
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
		ID: request.ChangeID, Expected: *request.ExpectedRevision,
		Declarations: request.Declarations, Preset: request.Preset,
	}
	return r.summarise(change)
}

func (request changeRequest) problems() []string {
	var problems []string
	if request.ChangeID == "" || len(request.ChangeID) > maxIDLength {
		problems = append(problems, fmt.Sprintf("change-id must have from 1 to %d bytes", maxIDLength))
	}
	if request.ExpectedRevision == nil {
		problems = append(problems, "expected-revision is missing")
	}
	if len(request.Declarations) == 0 && request.Preset == "" {
		problems = append(problems, "neither declarations nor preset is there, so nothing would change")
	}
	return problems
}

// summarise checks the declarations of change and fills in its summary. The
// register checks them again, together with the preset, when it applies the
// change.
func (r *Registrar) summarise(change Change) (Change, *refusal) {
	var parts []string
	if len(change.Declarations) > 0 {
		set, err := declaration.Decode(change.Declarations)
		if err != nil {
			return change, refuseDeclarations(err)
		}
		parts = append(parts, summaryOf(declaration.Diff(r.options.inForceNow().Declarations, set)))
	}
	if change.Preset != "" {
		parts = append(parts, "preset "+change.Preset)
	}
	change.Summary = strings.Join(parts, "; ")
	return change, nil
}

// summaryItems bounds the items that a summary names.
const summaryItems = 4

func summaryOf(changes []declaration.Change) string {
	if len(changes) == 0 {
		return "the same declarations"
	}
	var named []string
	for _, change := range changes[:min(len(changes), summaryItems)] {
		named = append(named, change.String())
	}
	if more := len(changes) - summaryItems; more > 0 {
		named = append(named, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(named, ", ")
}

func refuseDeclarations(err error) *refusal {
	var found *finding.Error
	if !errors.As(err, &found) {
		return &refusal{status: http.StatusUnprocessableEntity, failure: failure{Code: codeRefused, Message: err.Error()}}
	}
	return &refusal{status: http.StatusUnprocessableEntity, failure: failure{
		Code: codeRefused, Message: "the declarations are wrong", Findings: findingReplies(found.Findings),
	}}
}

func writeChangeError(c echo.Context, err error) error {
	var conflicting *ConflictError
	var refused *RefusedError
	var unavailable *UnavailableError
	switch {
	case errors.As(err, &conflicting):
		other := conflict(*conflicting)
		return fail(c, http.StatusConflict, outcome.NotRun, failure{
			Code: codeConflict, Message: conflicting.Error(), Conflict: &other,
		})
	case errors.As(err, &refused):
		return fail(c, http.StatusUnprocessableEntity, outcome.NotRun, failure{
			Code: codeRefused, Message: refused.Reason, Findings: findingReplies(refused.Findings),
		})
	case errors.As(err, &unavailable):
		if unavailable.RetryAfter > 0 {
			seconds := (unavailable.RetryAfter + time.Second - 1) / time.Second
			c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int(seconds)))
		}
		return fail(c, http.StatusServiceUnavailable, outcome.NotRun, failure{Code: codeUnavailable, Message: unavailable.Reason})
	default:
		return fail(c, http.StatusGatewayTimeout, outcome.Unknown, failure{Code: codeUnknown, Message: err.Error()})
	}
}

func fail(c echo.Context, status int, o outcome.Outcome, f failure) error {
	c.Response().Header().Set(outcome.Header, o.String())
	return c.JSON(status, failureReply{Error: f})
}
