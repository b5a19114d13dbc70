package standin

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const (
	// kvExportTTL is how long an export can be imported.
	kvExportTTL = time.Minute
	// kvBytesPerToken is the KV cache size per token that an export reports.
	kvBytesPerToken = 128 << 10
)

// kvPayload is the content of an export token. A real engine would keep the KV
// cache and return a name for it; the token is opaque to the system in both
// cases.
type kvPayload struct {
	Model    string    `json:"model"`
	Prefix   string    `json:"prefix"`
	Tokens   int       `json:"tokens"`
	NotAfter time.Time `json:"not-after"`
}

// encode returns the payload as an opaque token with a checksum.
func (p kvPayload) encode() (string, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return "", errors.Wrap(err, "standin: encode")
	}
	return base64.RawURLEncoding.EncodeToString(data) + "." + checksum(data), nil
}

// parseKVToken decodes a token. It returns an error if the checksum does not
// match.
func parseKVToken(token string) (kvPayload, error) {
	encoded, sum, _ := strings.Cut(token, ".")
	data, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil || checksum(data) != sum {
		return kvPayload{}, errors.New("standin: the token is not that of an export")
	}
	var payload kvPayload
	if err := json.Unmarshal(data, &payload); err != nil {
		return kvPayload{}, errors.Wrap(err, "standin: token")
	}
	return payload, nil
}

func checksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:8])
}

// exportKV exports the KV cache of a prefix, or of the longest prefix of a
// request.
func (e *Engine) exportKV(c echo.Context) error {
	var export upstreamapi.KVExport
	if err := json.NewDecoder(c.Request().Body).Decode(&export); err != nil {
		return respondProblem(c, http.StatusBadRequest, "standin: body: "+err.Error())
	}
	e.mu.Lock()
	name := export.Prefix
	if r := e.requests.Find(export.RequestID).run; r != nil && len(r.prefixes) > 0 {
		name = r.prefixes[len(r.prefixes)-1]
	}
	entry, found := e.cache.Find(export.Model, name)
	e.mu.Unlock()
	if !found {
		return respondProblem(c, http.StatusNotFound, "standin: no such prefix of "+export.Model+" is cached")
	}
	payload := kvPayload{entry.model, entry.name, entry.tokens, e.clock.Now().Add(kvExportTTL)}
	token, err := payload.encode()
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, upstreamapi.KVExported{
		Token:   token,
		Tokens:  entry.tokens,
		Bytes:   int64(entry.tokens) * kvBytesPerToken,
		KeptFor: kvExportTTL,
	})
}

// importKV adds an exported prefix to the prefix cache.
func (e *Engine) importKV(c echo.Context) error {
	var request upstreamapi.KVImport
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return respondProblem(c, http.StatusBadRequest, "standin: body: "+err.Error())
	}
	payload, err := parseKVToken(request.Token)
	if err != nil {
		return respondProblem(c, http.StatusUnprocessableEntity, err.Error())
	}
	if e.clock.Now().After(payload.NotAfter) {
		return respondProblem(c, http.StatusGone, "standin: the export is no longer kept")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, loaded := e.memory.resolve(payload.Model); !loaded {
		return respondProblem(c, http.StatusConflict, "standin: the model "+payload.Model+" is not loaded")
	}
	e.cache.Store(payload.Model, payload.Prefix, payload.Tokens)
	if _, stored := e.cache.Find(payload.Model, payload.Prefix); !stored {
		return respondProblem(c, http.StatusInsufficientStorage, "standin: there is no prefix cache")
	}
	e.wakePublisher()
	return c.JSON(http.StatusOK, upstreamapi.KVImported{Tokens: payload.Tokens})
}
