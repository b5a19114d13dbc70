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

	"github.com/lovagelift/lovagelift/internal/entries"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// Code is the machine-readable reason of a refusal. Callers' programs may rely on it.
type Code string

// Codes of refusals.
const (
	CodeBadRequest                Code = "bad-request"
	CodeTooLarge                  Code = "body-too-large"
	CodeNotFound                  Code = "not-found"
	CodeUnknownModel              Code = "unknown-model"
	CodeUnknownService            Code = "unknown-service"
	CodeNoUpstream                Code = "no-upstream"
	CodeVersionUnavailable        Code = "version-unavailable"
	CodeVersionUnknown            Code = "version-unknown"
	CodeOverloaded                Code = "overloaded"
	CodeDraining                  Code = "draining"
	CodeConfigurationNotConfirmed Code = "configuration-not-confirmed"
	CodeUpstreamFailed            Code = "upstream-failed"
	CodeCutOff                    Code = "answer-cut-off"
	CodeDeadline                  Code = "deadline-exceeded"
	CodeInternal                  Code = "internal"
	CodeNotClaimed                Code = "not-claimed"
	CodeKeyReused                 Code = "key-reused"
	CodeAnswerNotKept             Code = "answer-not-kept"
	CodeOutcomeUnknown            Code = "outcome-unknown"
	CodeInProgress                Code = "in-progress"
	CodeUnknownKey                Code = "unknown-key"
	CodeForbidden                 Code = "forbidden"
	CodeOverQuota                 Code = "over-quota"
	CodeQuarantined               Code = quarantine.Reason
	CodeSuspected                 Code = quarantine.ReasonSuspected
)

// RefusalError is the final response to a request that gets no response from an upstream.
type RefusalError struct {
	Status  int
	Code    Code
	Message string
	Outcome outcome.Outcome
	// RetryAfter is when the caller may retry, or 0 if a retry would not help.
	RetryAfter time.Duration
	// OtherAddresses are the addresses of other instances that the caller may use now.
	OtherAddresses []string
	// stopReason is why a stopping instance does not serve the request, empty if there is another reason.
	stopReason string
}

// Error returns the code and the message.
func (r *RefusalError) Error() string {
	return fmt.Sprintf("desk: %s: %s", r.Code, r.Message)
}

// errorBody is the JSON format of errors in the OpenAI API.
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
	if r.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	if len(r.OtherAddresses) > 0 {
		header.Set(entries.Header, strings.Join(r.OtherAddresses, ","))
	}
	return c.JSON(r.Status, r.body())
}

// handleError writes the error response. If the headers of another response were already sent, it
// aborts the connection: that response would look complete.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		s.options.Log.Warn().Err(err).Str("path", c.Request().URL.Path).Msg("response aborted")
		panic(http.ErrAbortHandler)
	}
	refusal := refusalOf(err)
	s.metrics.countRefusal(refusal.Code, refusal.Outcome)
	s.countStopRefusal(refusal)
	if refusal.Code == CodeInternal {
		s.options.Log.Error().Err(err).Str("path", c.Request().URL.Path).Msg("request failed")
	}
	if err := refusal.write(c); err != nil {
		s.options.Log.Debug().Err(err).Msg("failed to write the error response; caller disconnected")
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

// recoverPanic converts a handler's panic to an error, so that the caller gets a response. It
// does not recover http.ErrAbortHandler, which aborts a stream on purpose.
func (s *Server) recoverPanic(next echo.HandlerFunc) echo.HandlerFunc {
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
