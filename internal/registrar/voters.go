package registrar

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/outcome"
)

// Electorate is who may change the set of voters. Its methods are called from
// many goroutines at once.
type Electorate interface {
	Voters(now time.Time) Voters
	// Bootstrap founds the cluster of all voters that the settings name. If not
	// every one of them answers and is blank, it changes nothing and returns a
	// *finding.Error, or goes on where an earlier bootstrap was cut off.
	Bootstrap(ctx context.Context, origin Origin) error
	// ChangeVoters makes a caught-up voter count, or removes one. If it
	// certainly did not happen, it returns an *UnavailableError.
	ChangeVoters(ctx context.Context, change VotersChange) error
}

// Voters is the set of voters as one instance knows it.
type Voters struct {
	// Cluster is empty before the bootstrap.
	Cluster string `json:"cluster"`
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	// Voters are the identities that count.
	Voters []string `json:"voters"`
	// Waiting are the identities of voters that are alive and do not count: they
	// lost their disk, or are new.
	Waiting []string `json:"waiting"`
}

// Origin is the state of a cluster that lost its majority. The zero value stands
// for a new beginning.
type Origin struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Data  []byte `json:"data"`
}

// maxOriginBytes bounds an Origin on its way. The idempotency records of a full
// docket with their answers take 54 MB, in base64.
const maxOriginBytes = 128 << 20

// VotersChange adds one identity or removes one.
type VotersChange struct {
	Add    string `json:"add,omitempty"`
	Remove string `json:"remove,omitempty"`
}

const (
	votersPath    = "/operator/v1/voters"
	bootstrapPath = "/operator/v1/bootstrap"
)

func (r *Registrar) voters(c echo.Context) error {
	return c.JSON(http.StatusOK, r.options.Electorate.Voters(r.options.Now()))
}

func (r *Registrar) bootstrap(c echo.Context) error {
	by, _ := c.Get(operatorKey).(string)
	var origin Origin
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxOriginBytes)
	if err := json.NewDecoder(body).Decode(&origin); err != nil && !errors.Is(err, io.EOF) {
		return fail(c, http.StatusBadRequest, outcome.NotRun, failure{Code: codeBadRequest, Message: err.Error()})
	}
	err := r.options.Electorate.Bootstrap(c.Request().Context(), origin)
	r.options.Log.Info().Err(err).Str("by", by).Uint64("from-index", origin.Index).Msg("bootstrap")
	var findings *finding.Error
	if errors.As(err, &findings) {
		return fail(c, http.StatusConflict, outcome.NotRun, failure{Code: codeRefused, Message: err.Error()})
	}
	if err != nil {
		return fail(c, http.StatusConflict, outcome.Unknown, failure{Code: codeRefused, Message: err.Error()})
	}
	return c.JSON(http.StatusOK, r.options.Electorate.Voters(r.options.Now()))
}

func (r *Registrar) changeVoters(c echo.Context) error {
	by, _ := c.Get(operatorKey).(string)
	var change VotersChange
	if err := c.Bind(&change); err != nil || (change.Add == "") == (change.Remove == "") {
		return fail(c, http.StatusBadRequest, outcome.NotRun, failure{
			Code: codeBadRequest, Message: "a change of voters adds one identity or removes one",
		})
	}
	err := r.options.Electorate.ChangeVoters(c.Request().Context(), change)
	r.options.Log.Info().Err(err).Str("by", by).Str("add", change.Add).Str("remove", change.Remove).Msg("voters")
	var unavailable *UnavailableError
	switch {
	case errors.As(err, &unavailable):
		return fail(c, http.StatusServiceUnavailable, outcome.NotRun, failure{
			Code: codeUnavailable, Message: unavailable.Reason,
		})
	case err != nil:
		return fail(c, http.StatusBadGateway, outcome.Unknown, failure{Code: codeUnknown, Message: err.Error()})
	}
	return c.JSON(http.StatusOK, r.options.Electorate.Voters(r.options.Now()))
}

// Voters returns the set of voters as the first instance that answers knows it.
func (c *Client) Voters(ctx context.Context) (Voters, error) {
	var reply Voters
	err := c.get(ctx, votersPath, &reply)
	return reply, err
}

// Bootstrap founds the cluster through the first instance, and no other.
func (c *Client) Bootstrap(ctx context.Context, origin Origin) (Voters, error) {
	body, err := json.Marshal(origin)
	if err != nil {
		return Voters{}, errors.Wrap(err, "registrar: bootstrap")
	}
	return c.postVoters(ctx, bootstrapPath, body)
}

// ChangeVoters changes the set of voters through the first instance. Asking for
// the same change again is safe: it is refused if it has happened.
func (c *Client) ChangeVoters(ctx context.Context, change VotersChange) (Voters, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return Voters{}, errors.Wrap(err, "registrar: change of voters")
	}
	return c.postVoters(ctx, votersPath, body)
}

func (c *Client) postVoters(ctx context.Context, path string, body []byte) (Voters, error) {
	var reply Voters
	err := c.postFirst(ctx, path, body, &reply)
	return reply, err
}

// postFirst makes a call that changes something at the first instance. If it may or may
// not have been carried out, postFirst returns an *UnknownError.
func (c *Client) postFirst(ctx context.Context, path string, body []byte, into any) error {
	response, err := c.send(ctx, c.options.Addresses[0], http.MethodPost, path, body)
	if err == nil {
		err = response.decode(http.StatusOK, into)
	}
	certain := errors.HasType(err, (*UnavailableError)(nil)) || errors.HasType(err, (*RefusedError)(nil)) ||
		errors.Is(err, ErrUnauthorized)
	if err == nil || certain {
		return err
	}
	return &UnknownError{Cause: err}
}
