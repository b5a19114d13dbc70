package counter_test

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/quota"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

// Headers of the protocol that these specs use with upstreams.
const (
	idHeader     = "Spec-Request"
	notRunHeader = "Spec-Not-Run"
	limitHeader  = "Spec-Limit"
	keyHeader    = "Spec-Key"
	partHeader   = "Spec-Part"
	// maxOutputHeader is the maximum number of output tokens.
	maxOutputHeader = "Spec-Max-Output"

	pushbackHeader = "Spec-Pushback"
	leavingHeader  = "Spec-Leaving"

	toleranceHeader = "Spec-Tolerance"

	// livenessPath is the path of liveness checks.
	livenessPath = "/alive"
)

// dialect implements that protocol.
type dialect struct{}

func (dialect) Prepare(header http.Header, attempt counter.Attempt) {
	header.Set("Spec-Upstream", attempt.Upstream)
	header.Set("Spec-Remaining", attempt.Remaining.String())
	header.Set("Spec-Workspace", attempt.Workspace)
}

func (dialect) Classify(response *http.Response, requestID string) counter.ResponseClass {
	switch {
	case response.Header.Get(notRunHeader) != "":
		return counter.NotRun
	case response.StatusCode == http.StatusMisdirectedRequest:
		return counter.Misdirected
	case response.Header.Get(idHeader) != requestID:
		return counter.Mismatched
	default:
		return counter.Answered
	}
}

func (dialect) ParseLimit(header http.Header) ratelimit.Observation {
	text := header.Get(limitHeader)
	if text == "" {
		return ratelimit.NoLimit{}
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return ratelimit.InvalidLimit{Text: text}
	}
	return ratelimit.NamedLimit{Limit: ratelimit.Limit(limit)}
}

func (dialect) ParsePushback(response *http.Response) time.Duration {
	return ratelimit.ParsePushback(response.Header.Get(pushbackHeader))
}

func (dialect) ParseRefusalTolerance(header http.Header) int {
	return ratelimit.ParseTolerance(header.Get(toleranceHeader))
}

func (dialect) StatesLeave(header http.Header) bool {
	return header.Get(leavingHeader) != ""
}

func (dialect) LivenessCheck(_ *routes.Service, process quarantine.Lifetime) (path string, header http.Header) {
	return livenessPath, http.Header{"Spec-Upstream": {process.Upstream}}
}

func (dialect) ParseLiveness(response *http.Response, _ quarantine.Lifetime) counter.Liveness {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return counter.Ended
	}
	return counter.Alive
}

// Contents of the routes.
const (
	allRoutes = "{}"
	// withBatchRoute has a batch route, and an objective for requests to the plain service.
	withBatchRoute = "with-batch"
	// withoutLookRoute lacks the route "look".
	withoutLookRoute = "without-look"
	// withKeys needs the key "clerk-key" for all routes but "look", and withNewKeys the key
	// "new-key". The workspace has a quota of 1 request, and another one a minute later.
	withKeys    = "with-keys"
	withNewKeys = "with-new-keys"
	// withSplitDraft has a route "draft" that leads to "desk" and "nobody", and with withMovedDraft it
	// leads to "nobody" alone.
	withSplitDraft = "with-split-draft"
	withMovedDraft = "with-moved-draft"
	// withStride has engines with eventTokens tokens in each event.
	withStride  = "with-stride"
	eventTokens = 3
)

// clerks is the workspace of withKeys and withNewKeys.
func clerks(key string) []workspace.Workspace {
	return []workspace.Workspace{{
		Name: "clerks", Keys: []workspace.KeyDigest{workspace.Digest(key)}, Quota: quota.Limit{PerSecond: 1.0 / 60, Burst: 1},
	}}
}

// parseRoutes returns the routes of all specs.
func parseRoutes(content []byte) (*routes.Table, error) {
	route := func(name string, kind routes.Kind, change func(*routes.Route)) routes.Route {
		r := routes.Route{
			Name: name, Host: "spec.test", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second,
			MaxAttempts: 2, Shares: []routes.Share{{Service: "desk", Weight: 1}},
		}
		if change != nil {
			change(&r)
		}
		return r
	}
	draft := routes.Draft{
		Version: 1,
		Routes: []routes.Route{
			route("look", routes.Idempotent, nil),
			route("book", routes.NonIdempotent, nil),
			route("write", routes.Stream, nil),
			route("draft", routes.Stream, func(r *routes.Route) { r.Resumable = true }),
			route("short", routes.Idempotent, func(r *routes.Route) { r.Timeout = 200 * time.Millisecond }),
			route("patient", routes.Idempotent, func(r *routes.Route) { r.Timeout, r.Objective = time.Minute, time.Minute }),
			route("empty", routes.Idempotent, func(r *routes.Route) { r.Shares[0].Service = "nobody" }),
		},
		Services: []routes.Service{{Name: "desk"}, {Name: "nobody"}},
	}
	switch string(content) {
	case withBatchRoute:
		draft.Version = 2
		draft.Routes[0].Objective = plainObjective
		draft.Routes[2].Objective = routes.BatchObjective
	case withoutLookRoute:
		draft.Version = 2
		draft.Routes = draft.Routes[1:]
	case withKeys:
		draft.Version = 2
		draft.Routes[0].Public = true
		draft.Workspaces = clerks("clerk-key")
	case withNewKeys:
		draft.Version = 3
		draft.Routes[0].Public = true
		draft.Workspaces = clerks("new-key")
	case withSplitDraft:
		draft.Version = 2
		draft.Routes[3].Shares = append(draft.Routes[3].Shares, routes.Share{Service: "nobody", Weight: 1})
	case withStride:
		draft.Version = 2
		draft.Services[0].Engine = &routes.Engine{Slots: 8, TokensPerEvent: eventTokens}
	case withMovedDraft:
		draft.Version = 3
		draft.Routes[3].Shares[0].Service = "nobody"
	}
	return routes.New(draft)
}
