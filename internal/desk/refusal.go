package desk

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// EntriesHeader lists other instances that a refused caller may use, as
// addresses separated by commas.
const EntriesHeader = "Lovagelift-Entries"

// Code names why a request got no answer. Callers' programs may rely on it.
type Code string

// The codes of refusals.
const (
	CodeBadRequest     Code = "bad-request"
	CodeTooLarge       Code = "body-too-large"
	CodeNotFound       Code = "not-found"
	CodeUnknownModel   Code = "unknown-model"
	CodeUnknownService Code = "unknown-service"
	CodeNoUpstream     Code = "no-upstream"
	CodeOverloaded     Code = "overloaded"
	CodeDraining       Code = "draining"
	CodeStale          Code = "configuration-not-confirmed"
	CodeUpstreamFailed Code = "upstream-failed"
	CodeCutOff         Code = "answer-cut-off"
	CodeDeadline       Code = "deadline-exceeded"
	CodeInternal       Code = "internal"
	CodeNotClaimed     Code = "not-claimed"
	CodeKeyReused      Code = "key-reused"
	CodeAnswerNotKept  Code = "answer-not-kept"
	CodeOutcomeUnknown Code = "outcome-unknown"
	CodeInProgress     Code = "in-progress"
	CodeQuarantined    Code = quarantine.Reason
)

// RefusalError is the final answer to a request that has no answer of an upstream.
type RefusalError struct {
	Status  int
	Code    Code
	Message string
	Outcome outcome.Outcome
	// RetryAfter is when to come back, 0 if that would not help.
	RetryAfter time.Duration
	// Others are addresses of other instances to use now.
	Others []string
}

// Error returns the code and the message.
func (r *RefusalError) Error() string {
	return fmt.Sprintf("desk: %s: %s", r.Code, r.Message)
}

// errorBody is the shape of errors of the OpenAI interface.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    Code    `json:"code"`
	Outcome string  `json:"outcome"`
}

func (r *RefusalError) body() errorBody {
	kind := "invalid_request_error"
	if r.Status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	return errorBody{Error: errorDetail{
		Message: r.Message,
		Type:    kind,
		Code:    r.Code,
		Outcome: r.Outcome.String(),
	}}
}

func (r *RefusalError) write(c echo.Context) error {
	header := c.Response().Header()
	header.Set(outcome.Header, r.Outcome.String())
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	if len(r.Others) > 0 {
		header.Set(EntriesHeader, strings.Join(r.Others, ","))
	}
	return c.JSON(r.Status, r.body())
}

// handleError writes the one error that a request gets.
func (d *Desk) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := refusalOf(err)
	d.counts.refused(refusal.Code, refusal.Outcome)
	if refusal.Code == CodeInternal {
		d.options.Log.Error().Err(err).Str("path", c.Request().URL.Path).Msg("request failed")
	}
	if err := refusal.write(c); err != nil {
		d.options.Log.Debug().Err(err).Msg("caller went away before its error")
	}
}

func refusalOf(err error) *RefusalError {
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		return refusal
	}
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		return &RefusalError{
			Status:  httpError.Code,
			Code:    CodeNotFound,
			Message: fmt.Sprint(httpError.Message),
			Outcome: outcome.NotRun,
		}
	}
	return &RefusalError{
		Status:  http.StatusInternalServerError,
		Code:    CodeInternal,
		Message: "the instance failed; its log has the cause",
		Outcome: outcome.Unknown,
	}
}

// recoverPanic turns a panic of a handler into an error, so that the caller
// gets an answer. http.ErrAbortHandler passes: it cuts a stream off on purpose.
func (d *Desk) recoverPanic(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		defer func() {
			recovered := recover()
			if recovered == nil {
				return
			}
			if recovered == http.ErrAbortHandler { //nolint:errorlint // a panic value is not wrapped
				panic(recovered)
			}
			err = errors.Newf("desk: panic: %v", recovered)
		}()
		return next(c)
	}
}
