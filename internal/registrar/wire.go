package registrar

import (
	"encoding/json"
	"io"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// The probes at healthPath and readyPath require no token.
const (
	healthPath  = "/healthz"
	metricsPath = "/metrics"
	readyPath   = "/readyz"
)

const (
	activeConfigPath = "/operator/v1/in-force"
	changesPath      = "/operator/v1/changes"
	statusPath       = "/operator/v1/status"
	drainPath        = "/operator/v1/drain"
)

// The error codes of failureReply.
const (
	codeUnauthorized = "unauthorized"
	codeBadRequest   = "bad-request"
	codeConflict     = "conflict"
	codeRefused      = "refused"
	codeUnavailable  = "unavailable"
	codeUnknown      = "unknown"
)

// maxChangeIDBytes limits change IDs, since the replicated state stores them.
const maxChangeIDBytes = 128

type activeConfigReply struct {
	Revision       uint64 `json:"revision"`
	Preset         string `json:"preset"`
	HasConfigLease bool   `json:"fresh"`
	// Declarations is absent before the first change.
	Declarations json.RawMessage `json:"declarations,omitempty"`
}

type changeRequest struct {
	ChangeID string `json:"change-id"`
	// ExpectedRevision is a pointer to tell a missing value from revision 0.
	ExpectedRevision *uint64         `json:"expected-revision"`
	Declarations     json.RawMessage `json:"declarations,omitempty"`
	Preset           string          `json:"preset,omitempty"`
}

type changeReply struct {
	Revision uint64 `json:"revision"`
}

type drainReply struct {
	ActiveRequests int `json:"streams"`
}

type failureReply struct {
	Error failure `json:"error"`
}

type failure struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Conflict is set for codeConflict.
	Conflict *conflictReply `json:"conflict,omitempty"`
	Findings []findingReply `json:"findings,omitempty"`
}

type conflictReply struct {
	Revision     uint64                   `json:"revision"`
	ChangesSince []registry.AppliedChange `json:"since,omitempty"`
}

type findingReply struct {
	Place   string `json:"place"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Problem string `json:"problem"`
	Advice  string `json:"advice,omitempty"`
}

func findingReplies(findings []finding.Finding) []findingReply {
	replies := make([]findingReply, 0, len(findings))
	for _, f := range findings {
		replies = append(replies, findingReply{
			Place: f.Place.File, Line: f.Place.Line, Column: f.Place.Column, Problem: f.Problem, Advice: f.Advice,
		})
	}
	return replies
}

func parseFindings(replies []findingReply) []finding.Finding {
	var findings []finding.Finding
	for _, r := range replies {
		findings = append(findings, finding.Finding{
			Place:   finding.Place{File: r.Place, Line: r.Line, Column: r.Column},
			Problem: r.Problem,
			Advice:  r.Advice,
		})
	}
	return findings
}

// decodeWhole decodes the JSON value of a body. If the body is cut short, even behind the value, it returns an
// error: its sender did not finish.
func decodeWhole(body io.Reader, value any) error {
	if err := json.NewDecoder(body).Decode(value); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, body)
	return err
}
