package registrar

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/outcome"
)

const movesPath = "/operator/v1/placement-moves"

// Moves is the placement plan that one instance computes for declarations and a
// preset.
type Moves struct {
	Moves []Move `json:"moves"`
	// Unmet describes the placement needs that cannot be met, each with its
	// calculation.
	Unmet []string `json:"unmet"`
}

// Move is one order that would be sent to an engine.
type Move struct {
	Engine  string `json:"engine"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Reason  string `json:"reason"`
	// MakesRoomFor is the model that an unload frees memory for.
	MakesRoomFor string `json:"for,omitempty"`
	// WaitsFor is "memory" if the move must wait for another move to free memory.
	WaitsFor string `json:"waits,omitempty"`
	// Gain and Cost are in request-seconds of requests that meet their goals.
	Gain float64 `json:"expected-gain"`
	Cost float64 `json:"cost"`
}

// ErrNotVoter is returned by an instance that has no memory accounting of
// engines, since it is not a voter.
var ErrNotVoter = errors.New("registrar: this instance is no voter; ask one for placement")

// Preview returns the moves that declarations and a preset would cause, without
// changing anything.
type Preview func(now time.Time, declared declaration.Set, preset declaration.Preset) (Moves, error)

type movesRequest struct {
	Declarations json.RawMessage `json:"declarations"`
	Preset       string          `json:"preset"`
}

func (s *Server) moves(c echo.Context) error {
	reject := func(status int, code, message string) error {
		return writeFailure(c, status, outcome.NotRun, failure{Code: code, Message: message})
	}
	var request movesRequest
	if err := decodeWhole(c.Request().Body, &request); err != nil {
		return reject(http.StatusBadRequest, codeBadRequest, "registrar: body: "+err.Error())
	}
	declared, err := declaration.Decode(request.Declarations)
	if err != nil {
		return reject(http.StatusBadRequest, codeBadRequest, err.Error())
	}
	preset, known := declared.Preset(request.Preset)
	if !known {
		return reject(http.StatusBadRequest, codeBadRequest, "registrar: there is no preset "+request.Preset)
	}
	moves, err := s.options.Preview(s.options.Now(), declared, preset)
	if err != nil {
		return reject(http.StatusConflict, codeRefused, err.Error())
	}
	return c.JSON(http.StatusOK, moves)
}

// Moves returns the moves that declarations and a preset would cause, as computed
// by the first instance that responds successfully. It changes nothing.
func (c *Client) Moves(ctx context.Context, declared declaration.Set, preset string) (Moves, error) {
	body, err := json.Marshal(movesRequest{Declarations: declared.Canonical(), Preset: preset})
	if err != nil {
		return Moves{}, errors.Wrap(err, "registrar: encoding the request")
	}
	var combined error
	for _, address := range c.options.Addresses {
		var moves Moves
		response, err := c.send(ctx, address, http.MethodPost, movesPath, body)
		if err == nil {
			err = response.decode(http.StatusOK, &moves)
		}
		if err == nil || errors.Is(err, ErrUnauthorized) {
			return moves, err
		}
		combined = errors.CombineErrors(combined, err)
	}
	return Moves{}, combined
}
