package desk_test

import (
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing/fstest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

// declareWorkspaces brings a revision into force in which "clerks" has a key and a quota of a request
// a minute, and "jurors" may use no service but "other".
func (s *testServer) declareWorkspaces(revision registry.Revision, clerkKey string) {
	GinkgoHelper()
	digest := func(key string) string {
		d := workspace.Digest(key)
		return hex.EncodeToString(d[:])
	}
	text := fmt.Sprintf(`
[[preset]]
name = "ordinary"
first = true
[[service]]
name = "booking"
kind = "plain"
[[service]]
name = "other"
kind = "plain"
[[workspace]]
name = "clerks"
keys = [%q]
quota = { unit = "requests", per-second = 0.016, burst = 1 }
[[workspace]]
name = "jurors"
keys = [%q]
services = ["other"]
`, digest(clerkKey), digest("juror-key"))
	set, err := declaration.Read(fstest.MapFS{"a.toml": {Data: []byte(text)}}, "decl")
	Expect(err).NotTo(HaveOccurred())
	view := &registry.View{Revision: revision, Preset: "ordinary", Declarations: set.Canonical()}
	Expect(s.configCache.Publish(view)).To(Succeed())
}

var _ = Describe("a call of a workspace", func() {
	var server *testServer
	var upstream *fakeUpstream
	var seen chan http.Header

	BeforeEach(func() {
		server = newTestServer(newFakeVoters(), "a")
		seen = make(chan http.Header, 4)
		upstream = newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
			seen <- r.Header.Clone()
			_, _ = io.WriteString(w, "booked")
		})
		server.setUpstreams(upstream.address())
		server.declareWorkspaces(1, "clerk-key")
	})

	call := func(ctx SpecContext, key string) (*http.Response, string) {
		GinkgoHelper()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.url+"/services/booking/book", strings.NewReader("two seats"))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+key)
		request.Header.Set(desk.WorkspaceHeader, "not the caller's to set")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response, string(body)
	}

	It("runs under its name, without its key, and not beyond its quota", SpecTimeout(specTimeout), func(ctx SpecContext) {
		response, _ := call(ctx, "clerk-key")
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		header := <-seen
		Expect(header.Get(desk.WorkspaceHeader)).To(Equal("clerks"))
		Expect(header.Get("Authorization")).To(BeEmpty())

		response, body := call(ctx, "clerk-key")
		Expect(response.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(response.Header.Get("Lovagelift-Outcome")).To(Equal("not-run"))
		Expect(body).To(ContainSubstring(string(desk.CodeOverQuota)))
		Expect(upstream.runCount()).To(Equal(1))
	})

	It("is refused with an unknown key, and for a service that it may not use", SpecTimeout(specTimeout), func(ctx SpecContext) {
		response, body := call(ctx, "nobody's")
		Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
		Expect(response.Header.Get("WWW-Authenticate")).To(Equal("Bearer"))
		Expect(body).To(ContainSubstring(string(desk.CodeUnknownKey)))
		response, body = call(ctx, "juror-key")
		Expect(response.StatusCode).To(Equal(http.StatusForbidden))
		Expect(body).To(ContainSubstring(string(desk.CodeForbidden)))
		Expect(upstream.runCount()).To(BeZero())
	})

	It("is refused with a key that a later revision removes", SpecTimeout(specTimeout), func(ctx SpecContext) {
		server.declareWorkspaces(2, "new-key")
		response, _ := call(ctx, "clerk-key")
		Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
		response, _ = call(ctx, "new-key")
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})
})
