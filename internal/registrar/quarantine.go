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

// Quarantine is what operators ask of requests in quarantine. Its methods are called from many
// goroutines at once.
type Quarantine interface {
	// Quarantined returns the requests in quarantine, and those that are suspected. If the
	// instance keeps no records, it returns an *UnavailableError.
	Quarantined(now time.Time) ([]quarantine.Listing, error)
	// Lift clears requests. If it may not have, it returns an error.
	Lift(ctx context.Context, digests []quarantine.Digest) error
}

const quarantinePath = "/operator/v1/quarantine"

// liftRequest names the requests to clear.
type liftRequest struct {
	Lift []quarantine.Digest `json:"lift"`
}

// quarantineReply lists requests.
type quarantineReply struct {
	Requests []quarantine.Listing `json:"requests"`
}

// quarantineHandlers answer operators' calls about requests in quarantine.
type quarantineHandlers struct {
	keeper Quarantine
	now    func() time.Time
	log    zerolog.Logger
}

// NewQuarantineHandler returns the calls about requests in quarantine by themselves, for
// control instances whose other operators' calls are another program's.
func NewQuarantineHandler(keeper Quarantine, now func() time.Time, log zerolog.Logger) http.Handler {
	e := echo.New()
	quarantineHandlers{keeper: keeper, now: now, log: log}.addTo(e)
	return e
}

func (h quarantineHandlers) addTo(e *echo.Echo) {
	e.GET(quarantinePath, h.list)
	e.POST(quarantinePath, h.lift)
}

func (h quarantineHandlers) list(c echo.Context) error {
	listed, err := h.keeper.Quarantined(h.now())
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		return fail(c, http.StatusServiceUnavailable, outcome.NotRun, failure{Code: codeUnavailable, Message: unavailable.Reason})
	}
	if err != nil {
		return fail(c, http.StatusBadGateway, outcome.Unknown, failure{Code: codeUnknown, Message: err.Error()})
	}
	return c.JSON(http.StatusOK, quarantineReply{Requests: listed})
}

func (h quarantineHandlers) lift(c echo.Context) error {
	by, _ := c.Get(operatorKey).(string)
	var request liftRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil || len(request.Lift) == 0 {
		return fail(c, http.StatusBadRequest, outcome.NotRun, failure{
			Code: codeBadRequest, Message: "the body names no digests in \"lift\"",
		})
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), DefaultChangeTimeout)
	defer cancel()
	err := h.keeper.Lift(ctx, request.Lift)
	for _, digest := range request.Lift {
		h.log.Info().Err(err).Str("by", by).Stringer(quarantine.FieldDigest, digest).Msg(quarantine.LineLifted)
	}
	if err != nil {
		return fail(c, http.StatusBadGateway, outcome.Unknown, failure{Code: codeUnknown, Message: err.Error()})
	}
	return h.list(c)
}

// Quarantined returns the requests in quarantine, and those that are suspected, as the
// first instance that answers knows them.
func (c *Client) Quarantined(ctx context.Context) ([]quarantine.Listing, error) {
	var reply quarantineReply
	err := c.get(ctx, quarantinePath, &reply)
	return reply.Requests, err
}

// Lift clears requests through the first instance, and returns those that are left. To
// ask for the same again is safe. If they may or may not be cleared, Lift returns an
// *UnknownError.
func (c *Client) Lift(ctx context.Context, digests []quarantine.Digest) ([]quarantine.Listing, error) {
	body, err := json.Marshal(liftRequest{Lift: digests})
	if err != nil {
		return nil, errors.Wrap(err, "registrar: lift")
	}
	var reply quarantineReply
	err = c.postFirst(ctx, quarantinePath, body, &reply)
	return reply.Requests, err
}
