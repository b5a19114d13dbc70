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
	// kvKeptFor is how long an export can be imported.
	kvKeptFor = time.Minute
	// kvBytesPerToken is the size that an export reports.
	kvBytesPerToken = 128 << 10
)

// kvPayload is what the token of an export holds. A real engine would keep the
// cache itself and hand out a name for it; the token is opaque to the system
// either way.
type kvPayload struct {
	Model    string    `json:"model"`
	Prefix   string    `json:"prefix"`
	Tokens   int       `json:"tokens"`
	NotAfter time.Time `json:"not-after"`
}

// token returns the payload in an opaque form with a checksum.
func (p kvPayload) token() (string, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return "", errors.Wrap(err, "standin: encode")
	}
	return base64.RawURLEncoding.EncodeToString(data) + "." + checksum(data), nil
}

// parseKVToken returns the payload of a token. If it was not made by token,
// parseKVToken returns an error.
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
		return problem(c, http.StatusBadRequest, "standin: body: "+err.Error())
	}
	e.mu.Lock()
	name := export.Prefix
	if r := e.log.Find(export.RequestID).run; r != nil && len(r.prefixes) > 0 {
		name = r.prefixes[len(r.prefixes)-1]
	}
	entry, found := e.cache.Find(export.Model, name)
	e.mu.Unlock()
	if !found {
		return problem(c, http.StatusNotFound, "standin: no such prefix of "+export.Model+" is cached")
	}
	payload := kvPayload{entry.model, entry.name, entry.tokens, e.clock.Now().Add(kvKeptFor)}
	token, err := payload.token()
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, upstreamapi.KVExported{
		Token:   token,
		Tokens:  entry.tokens,
		Bytes:   int64(entry.tokens) * kvBytesPerToken,
		KeptFor: kvKeptFor,
	})
}

// importKV puts an exported prefix into the prefix cache.
func (e *Engine) importKV(c echo.Context) error {
	var request upstreamapi.KVImport
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return problem(c, http.StatusBadRequest, "standin: body: "+err.Error())
	}
	payload, err := parseKVToken(request.Token)
	if err != nil {
		return problem(c, http.StatusUnprocessableEntity, err.Error())
	}
	if e.clock.Now().After(payload.NotAfter) {
		return problem(c, http.StatusGone, "standin: the export is no longer kept")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, served := e.memory.serves(payload.Model); !served {
		return problem(c, http.StatusConflict, "standin: the model "+payload.Model+" is not loaded")
	}
	e.cache.Store(payload.Model, payload.Prefix, payload.Tokens)
	if _, stored := e.cache.Find(payload.Model, payload.Prefix); !stored {
		return problem(c, http.StatusInsufficientStorage, "standin: there is no prefix cache")
	}
	e.wakePublisher()
	return c.JSON(http.StatusOK, upstreamapi.KVImported{Tokens: payload.Tokens})
}
