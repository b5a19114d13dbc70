package desk

import (
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/quota"
	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

// WorkspaceHeader tells an upstream the name of the caller's workspace.
const WorkspaceHeader = "Lovagelift-Workspace"

// workspaces authorizes callers by their keys and keeps this instance within its share of the
// quotas. It is safe for concurrent use.
//
// Each instance may spend the same share, so that all together never exceed a quota, also while
// they are cut off from each other. An instance that restarts grants its part of the burst again. A
// workspace whose callers use few instances gets less than its quota.
type workspaces struct {
	instances int

	mu sync.Mutex
	// directory and services are those of the declarations at revision.
	revision  registry.Revision
	directory *workspace.Directory
	services  map[string][]string
	// buckets hold this instance's shares, by workspace.
	buckets map[string]quota.Bucket
}

func newWorkspaces(instances int) *workspaces {
	return &workspaces{instances: max(instances, 1), buckets: map[string]quota.Bucket{}}
}

// authorize returns the workspace whose key a request carries, and nil if no workspace is declared.
func (w *workspaces) authorize(header http.Header, configuration *gazette.Configuration, service string) (*workspace.Workspace, *RefusalError) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update(configuration.Revision, configuration.Declarations)
	if w.directory.Empty() {
		return nil, nil
	}
	key, _ := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	found := w.directory.Find(key)
	if found == nil {
		return nil, &RefusalError{
			Status: http.StatusUnauthorized, Code: CodeUnknownKey, Outcome: outcome.NotRun,
			Message: "no workspace has this key; send Authorization: Bearer with a key of a workspace",
		}
	}
	if allowed := w.services[found.Name]; len(allowed) > 0 && !slices.Contains(allowed, service) {
		return nil, &RefusalError{
			Status: http.StatusForbidden, Code: CodeForbidden, Outcome: outcome.NotRun,
			Message: "the workspace may not use this service",
		}
	}
	return found, nil
}

// update builds the directory of newer declarations. w.mu is held.
func (w *workspaces) update(revision registry.Revision, set declaration.Set) {
	if w.directory != nil && revision == w.revision {
		return
	}
	list := make([]workspace.Workspace, 0)
	w.services = map[string][]string{}
	for _, declared := range set.Workspaces() {
		list = append(list, workspaceOf(declared))
		w.services[declared.Name] = declared.Services
	}
	// Declarations have been validated, so there are no findings.
	var findings finding.List
	w.revision, w.directory = revision, workspace.New(list, &findings)
	for name := range w.buckets {
		if w.directory.Named(name) == nil {
			delete(w.buckets, name)
		}
	}
}

func workspaceOf(declared declaration.Workspace) workspace.Workspace {
	unit := quota.Requests
	if declared.Quota.Unit == declaration.QuotaTokens {
		unit = quota.Tokens
	}
	w := workspace.Workspace{Name: declared.Name, Quota: quota.Limit{
		Unit: unit, PerSecond: declared.Quota.PerSecond, Burst: declared.Quota.Burst, DefaultTokens: declared.Quota.DefaultTokens,
	}}
	for _, text := range declared.Keys {
		var digest workspace.KeyDigest
		if decoded, err := hex.DecodeString(text); err == nil {
			copy(digest[:], decoded)
			w.Keys = append(w.Keys, digest)
		}
	}
	return w
}

// charge takes the units of a request from this instance's share.
func (w *workspaces) charge(now time.Time, of *workspace.Workspace, size quota.Size) *RefusalError {
	if of == nil || !of.Quota.Limited() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	bucket, share := w.bucket(now, of)
	bucket, decision := bucket.Take(now, share, of.Quota.Cost(size), 0)
	w.buckets[of.Name] = bucket
	denied, isDenied := decision.(quota.Denied)
	if !isDenied {
		return nil
	}
	return &RefusalError{
		Status: http.StatusTooManyRequests, Code: CodeOverQuota, Outcome: outcome.NotRun, RetryAfter: denied.Wait,
		Message: "the workspace is over its quota; come back after the time in Retry-After",
	}
}

// refund returns the units of a request that no upstream has run.
func (w *workspaces) refund(now time.Time, of *workspace.Workspace, size quota.Size) {
	if of == nil || !of.Quota.Limited() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	bucket, share := w.bucket(now, of)
	w.buckets[of.Name] = bucket.Adjust(now, share, of.Quota.Cost(size))
}

// bucket returns the bucket and the limit of this instance's share. w.mu is held.
func (w *workspaces) bucket(now time.Time, of *workspace.Workspace) (quota.Bucket, quota.Limit) {
	share := of.Quota.Share(w.instances)
	bucket, known := w.buckets[of.Name]
	if !known {
		bucket = quota.NewBucket(now, share.Burst)
	}
	return bucket, share
}

// upstreamHeader returns the header to send to an upstream: without the caller's key, and with the
// name of its workspace. If no workspace is declared, it returns header unchanged.
func upstreamHeader(header http.Header, of *workspace.Workspace) http.Header {
	if of == nil {
		return header
	}
	header = header.Clone()
	header.Del("Authorization")
	header.Set(WorkspaceHeader, of.Name)
	return header
}
