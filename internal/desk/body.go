package desk

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/outcome"
)

// readBody reads the full request body. If it fails, nothing has been sent to an upstream.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.Limits.MaxBodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &RefusalError{
			Status:  http.StatusRequestEntityTooLarge,
			Code:    CodeTooLarge,
			Message: fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit),
			Outcome: outcome.NotRun,
		}
	}
	return nil, badRequest(finding.Finding{
		Place:   finding.Place{File: "body"},
		Problem: fmt.Sprintf("the body ended after %d bytes, before it was whole", len(body)),
	})
}

// completionRequest holds the fields of a completion request that routing needs. The body is
// forwarded to the upstream unchanged.
type completionRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// MaxTokens and MaxCompletionTokens bound the tokens of the answer. The first one is the older
	// name. They are raw, because it is the upstream that rejects invalid ones.
	MaxTokens           json.RawMessage `json:"max_tokens"`
	MaxCompletionTokens json.RawMessage `json:"max_completion_tokens"`
	// Messages are raw, because it is the upstream that rejects invalid ones.
	Messages rawMessages `json:"messages"`
}

// rawMessages are the messages of a prompt. Anything but a list is ignored.
type rawMessages []json.RawMessage

func (m *rawMessages) UnmarshalJSON(data []byte) error {
	var messages []json.RawMessage
	if json.Unmarshal(data, &messages) == nil {
		*m = messages
	}
	return nil
}

// maxTokens returns the bound of the answer's tokens, or 0 if the caller names none.
func (r completionRequest) maxTokens() int {
	bound := 0
	for _, raw := range []json.RawMessage{r.MaxTokens, r.MaxCompletionTokens} {
		if number, err := strconv.Atoi(string(raw)); err == nil {
			bound = max(bound, number)
		}
	}
	return bound
}

func parseCompletion(body []byte) (completionRequest, error) {
	var request completionRequest
	if offset := invalidUTF8(body); offset >= 0 {
		return request, badRequest(bodyFinding(offset, "invalid UTF-8", "send JSON in UTF-8"))
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return request, badRequest(jsonFinding(body, err))
	}
	if request.Model == "" {
		return request, badRequest(finding.Finding{
			Place:   finding.Place{File: "body"},
			Problem: "\"model\" is missing",
			Advice:  "name a model that GET /v1/models lists",
		})
	}
	return request, nil
}

// invalidUTF8 returns the offset of the first byte that is not valid UTF-8, or -1.
func invalidUTF8(body []byte) int {
	for offset := 0; offset < len(body); {
		r, size := utf8.DecodeRune(body[offset:])
		if r == utf8.RuneError && size == 1 {
			return offset
		}
		offset += size
	}
	return -1
}

func jsonFinding(body []byte, err error) finding.Finding {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return bodyFinding(int(syntax.Offset), "invalid JSON: "+syntax.Error(), "")
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		problem := fmt.Sprintf("%q is of the type %s", wrongType.Field, wrongType.Value)
		return bodyFinding(int(wrongType.Offset), problem, "write a "+wrongType.Type.String())
	}
	return bodyFinding(len(body), err.Error(), "")
}

func bodyFinding(offset int, problem, advice string) finding.Finding {
	return finding.Finding{
		Place:   finding.Place{File: "body", Line: 1, Column: offset + 1},
		Problem: problem,
		Advice:  advice,
	}
}

func badRequest(finding finding.Finding) *RefusalError {
	return &RefusalError{
		Status:  http.StatusBadRequest,
		Code:    CodeBadRequest,
		Message: finding.String(),
		Outcome: outcome.NotRun,
	}
}
