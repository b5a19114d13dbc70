// Package arrivals is the service discovery endpoint: it receives the announcements, load reports,
// leave messages and cache events of upstreams.
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

// maxBodyBytes limits a request body. An announcement of an engine with a hundred adapters takes a
// few kilobytes.
const maxBodyBytes = 1 << 20

// Instance processes the messages of upstreams. Its methods may be called concurrently.
type Instance interface {
	// Announce accepts an announcement, or returns an error and changes nothing.
	Announce(now time.Time, announcement upstreamapi.Announcement) (upstreamapi.AnnounceResponse, error)
	// ReportLoad processes a load report, which an upstream sends between two announcements.
	ReportLoad(now time.Time, report upstreamapi.LoadReport)
	// Leave processes the leave message of an upstream that is going away.
	Leave(now time.Time, leave upstreamapi.Leave)
	// ApplyCacheEvents processes events of an engine's prefix cache.
	ApplyCacheEvents(now time.Time, events upstreamapi.CacheEvents)
}

// Options configures the handler.
type Options struct {
	Instance Instance
	// UpstreamByToken returns the name of the upstream that holds a token.
	UpstreamByToken func(token string) (string, bool)
	Now             func() time.Time
	Log             zerolog.Logger
}

// Handler is the HTTP handler for messages of upstreams. It is safe for concurrent use.
type Handler struct {
	options Options
	echo    *echo.Echo
}

// New returns the handler.
func New(options Options) *Handler {
	h := &Handler{options: options, echo: echo.New()}
	h.echo.Use(h.checkToken)
	h.echo.POST(upstreamapi.AnnouncePath, h.announce)
	h.echo.POST(upstreamapi.LoadPath, h.load)
	h.echo.POST(upstreamapi.LeavePath, h.leave)
	h.echo.POST(upstreamapi.CacheEventsPath, h.cacheEvents)
	return h
}

// ServeHTTP responds to one message of an upstream.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.echo.ServeHTTP(w, r)
}

func (h *Handler) checkToken(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token := strings.TrimPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if _, ok := h.options.UpstreamByToken(token); !ok {
			return h.reject(c, http.StatusUnauthorized, "", "the upstreams' token is missing or wrong")
		}
		return next(c)
	}
}

func (h *Handler) announce(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return h.reject(c, http.StatusBadRequest, "", err.Error())
	}
	announcement, findings := upstreamapi.DecodeAnnouncement(body)
	if findings.Len() > 0 {
		return h.reject(c, http.StatusBadRequest, announcement.Name, findingTexts(findings)...)
	}
	response, err := h.options.Instance.Announce(h.options.Now(), announcement)
	switch {
	case errors.Is(err, roster.ErrNameTaken):
		return h.reject(c, http.StatusConflict, announcement.Name, "$.name: "+err.Error())
	case err != nil:
		return h.reject(c, http.StatusBadRequest, announcement.Name, err.Error())
	}
	return c.JSON(http.StatusOK, response)
}

func (h *Handler) load(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return h.reject(c, http.StatusBadRequest, "", err.Error())
	}
	report, findings := upstreamapi.DecodeLoadReport(body)
	if findings.Len() > 0 {
		return h.reject(c, http.StatusBadRequest, report.Name, findingTexts(findings)...)
	}
	h.options.Instance.ReportLoad(h.options.Now(), report)
	return c.NoContent(http.StatusNoContent)
}

func (h *Handler) leave(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return h.reject(c, http.StatusBadRequest, "", err.Error())
	}
	leave, findings := upstreamapi.DecodeLeave(body)
	if findings.Len() > 0 {
		return h.reject(c, http.StatusBadRequest, leave.Name, findingTexts(findings)...)
	}
	h.options.Instance.Leave(h.options.Now(), leave)
	return c.NoContent(http.StatusNoContent)
}

func (h *Handler) cacheEvents(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return h.reject(c, http.StatusBadRequest, "", err.Error())
	}
	events, findings := upstreamapi.DecodeCacheEvents(body)
	if findings.Len() > 0 {
		return h.reject(c, http.StatusBadRequest, events.Name, findingTexts(findings)...)
	}
	h.options.Instance.ApplyCacheEvents(h.options.Now(), events)
	return c.NoContent(http.StatusNoContent)
}

// reject responds with all findings about a message, and logs them.
func (h *Handler) reject(c echo.Context, status int, upstream string, findings ...string) error {
	h.options.Log.Warn().
		Str("upstream", upstream).
		Str("path", c.Path()).
		Str("remote", c.Request().RemoteAddr).
		Int("status", status).
		Strs("findings", findings).
		Msg("rejected a message of an upstream")
	return c.JSON(status, upstreamapi.Problem{Findings: findings})
}

func readBody(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return nil, errors.Wrap(err, "arrivals: reading the body")
	}
	return body, nil
}

func findingTexts(findings finding.List) []string {
	texts := make([]string, 0, findings.Len())
	for _, f := range findings.All() {
		texts = append(texts, f.String())
	}
	return texts
}
