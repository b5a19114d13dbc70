// Package arrivals takes the announcements of upstreams (service discovery).
package arrivals

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/finding"
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
	// Load takes a load report between two announcements.
	Load(now time.Time, report upstreamapi.LoadReport)
	// Leave takes an upstream's word that it goes.
	Leave(now time.Time, leave upstreamapi.Leave)
	// Cached takes what happened in an engine's prefix cache.
	Cached(now time.Time, events upstreamapi.CacheEvents)
}

// Options configures the handlers.
type Options struct {
	Instance Instance
	// Holder returns the name of the upstream who holds a token.
	Holder func(token string) (string, bool)
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
	a.echo.POST(upstreamapi.LoadPath, a.load)
	a.echo.POST(upstreamapi.LeavePath, a.leave)
	a.echo.POST(upstreamapi.CacheEventsPath, a.cacheEvents)
	return a
}

// ServeHTTP answers one call of an upstream.
func (a *Arrivals) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.echo.ServeHTTP(w, r)
}

func (a *Arrivals) checkToken(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		shown := strings.TrimPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if _, ok := a.options.Holder(shown); !ok {
			return a.refuse(c, http.StatusUnauthorized, "", "the upstreams' token is missing or wrong")
		}
		return next(c)
	}
}

func (a *Arrivals) announce(c echo.Context) error {
	body, err := read(c)
	if err != nil {
		return a.refuse(c, http.StatusBadRequest, "", err.Error())
	}
	announcement, findings := upstreamapi.DecodeAnnouncement(body)
	if findings.Len() > 0 {
		return a.refuse(c, http.StatusBadRequest, announcement.Name, lines(findings)...)
	}
	welcome, err := a.options.Instance.Announce(a.options.Now(), announcement)
	switch {
	case errors.Is(err, roster.ErrNameTaken):
		return a.refuse(c, http.StatusConflict, announcement.Name, "$.name: "+err.Error())
	case err != nil:
		return a.refuse(c, http.StatusBadRequest, announcement.Name, err.Error())
	}
	return c.JSON(http.StatusOK, welcome)
}

func (a *Arrivals) load(c echo.Context) error {
	body, err := read(c)
	if err != nil {
		return a.refuse(c, http.StatusBadRequest, "", err.Error())
	}
	report, findings := upstreamapi.DecodeLoadReport(body)
	if findings.Len() > 0 {
		return a.refuse(c, http.StatusBadRequest, report.Name, lines(findings)...)
	}
	a.options.Instance.Load(a.options.Now(), report)
	return c.NoContent(http.StatusNoContent)
}

func (a *Arrivals) leave(c echo.Context) error {
	body, err := read(c)
	if err != nil {
		return a.refuse(c, http.StatusBadRequest, "", err.Error())
	}
	leave, findings := upstreamapi.DecodeLeave(body)
	if findings.Len() > 0 {
		return a.refuse(c, http.StatusBadRequest, leave.Name, lines(findings)...)
	}
	a.options.Instance.Leave(a.options.Now(), leave)
	return c.NoContent(http.StatusNoContent)
}

func (a *Arrivals) cacheEvents(c echo.Context) error {
	body, err := read(c)
	if err != nil {
		return a.refuse(c, http.StatusBadRequest, "", err.Error())
	}
	events, findings := upstreamapi.DecodeCacheEvents(body)
	if findings.Len() > 0 {
		return a.refuse(c, http.StatusBadRequest, events.Name, lines(findings)...)
	}
	a.options.Instance.Cached(a.options.Now(), events)
	return c.NoContent(http.StatusNoContent)
}

// refuse answers with everything that is wrong with a call, and logs it.
func (a *Arrivals) refuse(c echo.Context, status int, upstream string, findings ...string) error {
	a.options.Log.Warn().
		Str("upstream", upstream).
		Str("path", c.Path()).
		Str("remote", c.Request().RemoteAddr).
		Int("status", status).
		Strs("findings", findings).
		Msg("call of an upstream refused")
	return c.JSON(status, upstreamapi.Problem{Findings: findings})
}

func read(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, bodyBytes))
	if err != nil {
		return nil, errors.Wrap(err, "arrivals: reading the body")
	}
	return body, nil
}

func lines(findings finding.List) []string {
	all := make([]string, 0, findings.Len())
	for _, f := range findings.All() {
		all = append(all, f.String())
	}
	return all
}
