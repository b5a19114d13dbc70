// Package arrivals takes the announcements of upstreams (service discovery).
package arrivals

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// bodyBytes bounds an announcement. One of an engine with a hundred adapters
// takes a few kilobytes.
const bodyBytes = 1 << 20

// Instance is what the handlers ask of the instance that they answer for. Its
// methods are called from many goroutines at once.
type Instance interface {
	// Announce takes an announcement, or says why not and changes nothing.
	Announce(now time.Time, announcement upstreamapi.Announcement) (upstreamapi.Welcome, error)
	// Leave takes an upstream's word that it goes.
	Leave(now time.Time, leave upstreamapi.Leave)
}

// Options configures the handlers.
type Options struct {
	Instance Instance
	// Token is what upstreams must show. If it is empty, none is asked for.
	Token string
	// Now returns the present time.
	Now func() time.Time
	Log zerolog.Logger
}

// Arrivals is the handler of upstreams' calls. It is safe for concurrent use.
type Arrivals struct {
	options Options
	echo    *echo.Echo
}

// New returns the handlers.
func New(options Options) *Arrivals {
	a := &Arrivals{options: options, echo: echo.New()}
	a.echo.Use(a.checkToken)
	a.echo.POST(upstreamapi.AnnouncePath, a.announce)
	a.echo.POST(upstreamapi.LeavePath, a.leave)
	return a
}

// ServeHTTP answers one call of an upstream.
func (a *Arrivals) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.echo.ServeHTTP(w, r)
}

type errorReply struct {
	Error string `json:"error"`
}

func (a *Arrivals) checkToken(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if a.options.Token == "" {
			return next(c)
		}
		shown := strings.TrimPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(shown), []byte(a.options.Token)) != 1 {
			return c.JSON(http.StatusUnauthorized, errorReply{"arrivals: the upstreams' token is missing or wrong"})
		}
		return next(c)
	}
}

func (a *Arrivals) announce(c echo.Context) error {
	var announcement upstreamapi.Announcement
	if err := decode(c, &announcement); err != nil {
		return c.JSON(http.StatusBadRequest, errorReply{err.Error()})
	}
	welcome, err := a.options.Instance.Announce(a.options.Now(), announcement)
	switch {
	case errors.Is(err, roster.ErrNameTaken):
		a.options.Log.Warn().Err(err).Str("upstream", announcement.Name).Msg("announcement refused")
		return c.JSON(http.StatusConflict, errorReply{err.Error()})
	case err != nil:
		a.options.Log.Warn().Err(err).Str("upstream", announcement.Name).Msg("announcement refused")
		return c.JSON(http.StatusBadRequest, errorReply{err.Error()})
	}
	return c.JSON(http.StatusOK, welcome)
}

func (a *Arrivals) leave(c echo.Context) error {
	var leave upstreamapi.Leave
	if err := decode(c, &leave); err != nil {
		return c.JSON(http.StatusBadRequest, errorReply{err.Error()})
	}
	a.options.Instance.Leave(a.options.Now(), leave)
	return c.NoContent(http.StatusNoContent)
}

func decode(c echo.Context, into any) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, bodyBytes))
	if err != nil {
		return errors.Wrap(err, "arrivals: reading the body")
	}
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Wrap(err, "arrivals: body")
	}
	return nil
}
