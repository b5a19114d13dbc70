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

// VoterManager reads and changes the set of voters. Its methods must be safe for
// concurrent use.
type VoterManager interface {
	Voters(now time.Time) Voters
	// Bootstrap creates the cluster of all voters in the settings. If a voter does
	// not respond or already has state, Bootstrap either resumes an interrupted
	// bootstrap, or changes nothing and returns a *finding.Error.
	Bootstrap(ctx context.Context, origin Origin) error
	// ChangeVoters adds a caught-up voter to the voting members or removes one. If
	// the change certainly did not happen, it returns an *UnavailableError.
	ChangeVoters(ctx context.Context, change VotersChange) error
}

// Voters is the set of voters as known to one instance.
type Voters struct {
	// Cluster is empty before the bootstrap.
	Cluster string `json:"cluster"`
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	// Voters lists the identities of the voting members.
	Voters []string `json:"voters"`
	// NonVoting lists the identities of live instances that are not voting members
	// yet, because they are new or lost their disk.
	NonVoting []string `json:"waiting"`
}

// Origin is the exported state of a cluster that lost its quorum, from which a new
// cluster is bootstrapped. The zero value means an empty state.
type Origin struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Data  []byte `json:"data"`
}

// maxOriginBytes limits an encoded Origin. A full set of idempotency records with
// their responses takes 54 MB in base64.
const maxOriginBytes = 128 << 20

// VotersChange adds or removes one voting member. Exactly one field is set.
type VotersChange struct {
	Add    string `json:"add,omitempty"`
	Remove string `json:"remove,omitempty"`
}

const (
	votersPath    = "/operator/v1/voters"
	bootstrapPath = "/operator/v1/bootstrap"
)

func (s *Server) voters(c echo.Context) error {
	return c.JSON(http.StatusOK, s.options.VoterManager.Voters(s.options.Now()))
}

func (s *Server) bootstrap(c echo.Context) error {
	operator, _ := c.Get(operatorContextKey).(string)
	var origin Origin
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxOriginBytes)
	if err := decodeWhole(body, &origin); err != nil && !errors.Is(err, io.EOF) {
		return writeFailure(c, http.StatusBadRequest, outcome.NotRun, failure{Code: codeBadRequest, Message: err.Error()})
	}
	err := s.options.VoterManager.Bootstrap(c.Request().Context(), origin)
	s.options.Log.Info().Err(err).Str("by", operator).Uint64("from-index", origin.Index).Msg("cluster bootstrap")
	var findings *finding.Error
	if errors.As(err, &findings) {
		return writeFailure(c, http.StatusConflict, outcome.NotRun, failure{Code: codeRefused, Message: err.Error()})
	}
	if err != nil {
		return writeFailure(c, http.StatusConflict, outcome.Unknown, failure{Code: codeRefused, Message: err.Error()})
	}
	return c.JSON(http.StatusOK, s.options.VoterManager.Voters(s.options.Now()))
}

func (s *Server) changeVoters(c echo.Context) error {
	operator, _ := c.Get(operatorContextKey).(string)
	var change VotersChange
	err := c.Bind(&change)
	if err == nil {
		_, err = io.Copy(io.Discard, c.Request().Body)
	}
	if err != nil || (change.Add == "") == (change.Remove == "") {
		return writeFailure(c, http.StatusBadRequest, outcome.NotRun, failure{
			Code: codeBadRequest, Message: "a change of voters adds one identity or removes one",
		})
	}
	err = s.options.VoterManager.ChangeVoters(c.Request().Context(), change)
	s.options.Log.Info().Err(err).Str("by", operator).Str("add", change.Add).Str("remove", change.Remove).Msg("voter set change")
	var unavailable *UnavailableError
	switch {
	case errors.As(err, &unavailable):
		return writeFailure(c, http.StatusServiceUnavailable, outcome.NotRun, failure{
			Code: codeUnavailable, Message: unavailable.Reason,
		})
	case err != nil:
		return writeFailure(c, http.StatusBadGateway, outcome.Unknown, failure{Code: codeUnknown, Message: err.Error()})
	}
	return c.JSON(http.StatusOK, s.options.VoterManager.Voters(s.options.Now()))
}

// Voters returns the set of voters as known to the first instance that responds.
func (c *Client) Voters(ctx context.Context) (Voters, error) {
	var reply Voters
	err := c.get(ctx, votersPath, &reply)
	return reply, err
}

// Bootstrap creates the cluster through the instance at the first address, never
// through another one.
func (c *Client) Bootstrap(ctx context.Context, origin Origin) (Voters, error) {
	body, err := json.Marshal(origin)
	if err != nil {
		return Voters{}, errors.Wrap(err, "registrar: bootstrap")
	}
	return c.postVoters(ctx, bootstrapPath, body)
}

// ChangeVoters changes the set of voters through the instance at the first
// address. Repeating a change is safe: it is rejected if it has already happened.
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

// postFirst sends a mutating request to the instance at the first address. If the
// request may have been carried out, postFirst returns an *UnknownError.
func (c *Client) postFirst(ctx context.Context, path string, body []byte, reply any) error {
	response, err := c.send(ctx, c.options.Addresses[0], http.MethodPost, path, body)
	if err == nil {
		err = response.decode(http.StatusOK, reply)
	}
	definite := errors.HasType(err, (*UnavailableError)(nil)) || errors.HasType(err, (*RefusedError)(nil)) ||
		errors.Is(err, ErrUnauthorized)
	if err == nil || definite {
		return err
	}
	return &UnknownError{Cause: err}
}
