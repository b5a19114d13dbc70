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

// movesPath answers the moves that declarations would cause.
const movesPath = "/operator/v1/placement-moves"

// Moves are what declarations and a preset would cause, as far as one instance
// knows.
type Moves struct {
	Moves []Move `json:"moves"`
	// Unmet are needs that could not be met, each with the arithmetic.
	Unmet []string `json:"unmet"`
}

// Move is one order that would be given.
type Move struct {
	Engine  string `json:"engine"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Reason  string `json:"reason"`
	// For is the model that an unload makes room for.
	For string `json:"for,omitempty"`
	// Waits is memory if the move must wait for another one.
	Waits string `json:"waits,omitempty"`
	// Gain and Cost are requests times seconds within their goals.
	Gain float64 `json:"expected-gain"`
	Cost float64 `json:"cost"`
}

// ErrNoPlacement means that the instance knows no accounts of engines.
var ErrNoPlacement = errors.New("registrar: this instance is no voter; ask one for placement")

// Preview returns the moves that declarations and a preset would cause.
type Preview func(now time.Time, declared declaration.Set, preset declaration.Preset) (Moves, error)

type movesRequest struct {
	Declarations json.RawMessage `json:"declarations"`
	Preset       string          `json:"preset"`
}

func (r *Registrar) moves(c echo.Context) error {
	refuse := func(status int, code, message string) error {
		return fail(c, status, outcome.NotRun, failure{Code: code, Message: message})
	}
	var request movesRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return refuse(http.StatusBadRequest, codeBadRequest, "registrar: body: "+err.Error())
	}
	declared, err := declaration.Decode(request.Declarations)
	if err != nil {
		return refuse(http.StatusBadRequest, codeBadRequest, err.Error())
	}
	preset, known := declared.Preset(request.Preset)
	if !known {
		return refuse(http.StatusBadRequest, codeBadRequest, "registrar: there is no preset "+request.Preset)
	}
	moves, err := r.options.Preview(r.options.Now(), declared, preset)
	if err != nil {
		return refuse(http.StatusConflict, codeRefused, err.Error())
	}
	return c.JSON(http.StatusOK, moves)
}

// Moves asks the instances one after the other what declarations and a preset
// would cause, until one of them answers. Nothing is changed.
func (c *Client) Moves(ctx context.Context, declared declaration.Set, preset string) (Moves, error) {
	body, err := json.Marshal(movesRequest{Declarations: declared.Canonical(), Preset: preset})
	if err != nil {
		return Moves{}, errors.Wrap(err, "registrar: encoding the request")
	}
	var failed error
	for _, address := range c.options.Addresses {
		var moves Moves
		response, err := c.send(ctx, address, http.MethodPost, movesPath, body)
		if err == nil {
			err = response.decode(http.StatusOK, &moves)
		}
		if err == nil || errors.Is(err, ErrUnauthorized) {
			return moves, err
		}
		failed = errors.CombineErrors(failed, err)
	}
	return Moves{}, failed
}
