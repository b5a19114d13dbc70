package registrar

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// QuarantineStore lists and releases quarantined requests. Its methods must be safe
// for concurrent use.
type QuarantineStore interface {
	// Quarantined returns the quarantined and the suspected requests. If the
	// instance keeps no records, it returns an *UnavailableError.
	Quarantined(now time.Time) ([]quarantine.Listing, error)
	// Lift releases requests from quarantine. It returns an error if it may have
	// failed to do so.
	Lift(ctx context.Context, digests []quarantine.Digest) error
}

const quarantinePath = "/operator/v1/quarantine"

type liftRequest struct {
	Lift []quarantine.Digest `json:"lift"`
}

type quarantineReply struct {
	Requests []quarantine.Listing `json:"requests"`
}

// quarantineHandlers serves the quarantine endpoints.
type quarantineHandlers struct {
	store QuarantineStore
	now   func() time.Time
	log   zerolog.Logger
}

// NewQuarantineHandler returns a handler of only the quarantine endpoints, for
// control instances whose other admin endpoints another program serves.
func NewQuarantineHandler(store QuarantineStore, now func() time.Time, log zerolog.Logger) http.Handler {
	e := echo.New()
	quarantineHandlers{store: store, now: now, log: log}.register(e)
	return e
}

func (h quarantineHandlers) register(e *echo.Echo) {
	e.GET(quarantinePath, h.list)
	e.POST(quarantinePath, h.lift)
}

func (h quarantineHandlers) list(c echo.Context) error {
	listings, err := h.store.Quarantined(h.now())
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		return writeFailure(c, http.StatusServiceUnavailable, outcome.NotRun, failure{Code: codeUnavailable, Message: unavailable.Reason})
	}
	if err != nil {
		return writeFailure(c, http.StatusBadGateway, outcome.Unknown, failure{Code: codeUnknown, Message: err.Error()})
	}
	return c.JSON(http.StatusOK, quarantineReply{Requests: listings})
}

func (h quarantineHandlers) lift(c echo.Context) error {
	operator, _ := c.Get(operatorContextKey).(string)
	var request liftRequest
	body := http.MaxBytesReader(c.Response(), c.Request().Body, DefaultBodyBytes)
	if err := decodeWhole(body, &request); err != nil || len(request.Lift) == 0 {
		return writeFailure(c, http.StatusBadRequest, outcome.NotRun, failure{
			Code: codeBadRequest, Message: "the body names no digests in \"lift\"",
		})
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), DefaultChangeTimeout)
	defer cancel()
	err := h.store.Lift(ctx, request.Lift)
	for _, digest := range request.Lift {
		h.log.Info().Err(err).Str("by", operator).Stringer(quarantine.FieldDigest, digest).Msg(quarantine.LogLifted)
	}
	if err != nil {
		return writeFailure(c, http.StatusBadGateway, outcome.Unknown, failure{Code: codeUnknown, Message: err.Error()})
	}
	return h.list(c)
}

// Quarantined returns the quarantined and the suspected requests as known to the
// first instance that responds.
func (c *Client) Quarantined(ctx context.Context) ([]quarantine.Listing, error) {
	var reply quarantineReply
	err := c.get(ctx, quarantinePath, &reply)
	return reply.Requests, err
}

// Lift releases requests through the instance at the first address and returns
// the requests that remain. Repeating the call is safe. If the requests may have
// been released, Lift returns an *UnknownError.
func (c *Client) Lift(ctx context.Context, digests []quarantine.Digest) ([]quarantine.Listing, error) {
	body, err := json.Marshal(liftRequest{Lift: digests})
	if err != nil {
		return nil, errors.Wrap(err, "registrar: lift")
	}
	var reply quarantineReply
	err = c.postFirst(ctx, quarantinePath, body, &reply)
	return reply.Requests, err
}
