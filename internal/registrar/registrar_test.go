package registrar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/registrar"
	"github.com/lovagelift/lovagelift/internal/registry"
)

var ctx = context.Background()

var _ = Describe("Change", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	It("activates the declarations, byte for byte, and the preset", func() {
		c := client("token of kim", serve(f.handler))
		before, err := c.ActiveConfig(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(before).To(Equal(registrar.ActiveConfig{HasConfigLease: true}))
		Expect(c.Change(ctx, change(0, "ordinary"))).To(Equal(registrar.ChangeResult{Revision: 1}))
		after, err := c.ActiveConfig(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Revision).To(Equal(uint64(1)))
		Expect(after.Preset).To(Equal("ordinary"))
		Expect(string(after.Declarations.Canonical())).To(Equal(string(declarations("ordinary"))))
		Expect(f.voter.lastChange.By).To(Equal("kim"))
		Expect(f.voter.lastChange.Now).To(Equal(testTime))
		Expect(f.voter.lastChange.Summary).To(Equal("add model m, add preset ordinary; preset ordinary"))
	})

	It("lets exactly one of two operators with equal revisions win, and tells the other what changed", func() {
		// Kim and Ada both read revision 0, and Kim's change arrives first. Ada's
		// change must not overwrite it, and the error must name Kim's change.
		address := serve(f.handler)
		_, err := client("token of kim", address).Change(ctx, change(0, "ordinary"))
		Expect(err).NotTo(HaveOccurred())
		_, err = client("token of ada", address).Change(ctx, change(0, "peak"))
		var conflict *registrar.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(*conflict).To(Equal(registrar.ConflictError{Revision: 1, ChangesSince: []registry.AppliedChange{{
			Revision: 1, ID: change(0, "ordinary").ID, By: "kim", At: testTime,
			Summary: "add model m, add preset ordinary; preset ordinary",
		}}}))
		Expect(err).To(MatchError("registrar: revision 1 is in force\n" +
			"revision 1 by kim at 2026-12-02T12:00:00Z: add model m, add preset ordinary; preset ordinary"))
		Expect(f.activeConfig().Preset).To(Equal("ordinary"))
	})

	It("asks the next instance after a lost answer and changes nothing twice", func() {
		// The first instance accepts the change and crashes before it responds.
		// The client resends the change to the next instance with the same ID and
		// must get the first result.
		lossy := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}))
		result, err := client("token of kim", lossy, serve(f.handler)).Change(ctx, change(0, "ordinary"))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Revision).To(Equal(uint64(1)))
		Expect(f.activeConfig().Revision).To(Equal(uint64(1)))
	})

	It("gives the first answer again after the state was restored", func() {
		// Kim's change is accepted, but the response is lost. All instances restart
		// from a snapshot, and another change is accepted. Kim's resent change must
		// get the first result.
		first := change(0, "ordinary")
		_, err := client("token of kim", serve(f.handler)).Change(ctx, first)
		Expect(err).NotTo(HaveOccurred())
		f.voter.restart()
		restarted := client("token of kim", serve(fixtureFor(f.voter).handler))
		second := registrar.Change{ID: "second", ExpectedRevision: 1, Declarations: declarations("peak"), Preset: "peak"}
		Expect(restarted.Change(ctx, second)).To(Equal(registrar.ChangeResult{Revision: 2}))
		Expect(restarted.Change(ctx, first)).To(Equal(registrar.ChangeResult{Revision: 1}))
		Expect(f.activeConfig().Preset).To(Equal("peak"))
		_, err = restarted.Change(ctx, registrar.Change{ID: "second", ExpectedRevision: 1, Preset: "peak"})
		Expect(err).To(MatchError(ContainSubstring(`the change id "second" was used for another change`)))
		Expect(errors.HasType(err, (*registrar.RefusedError)(nil))).To(BeTrue())
	})

	It("refuses a preset that nothing declares", func() {
		c := client("token of kim", serve(f.handler))
		_, err := c.Change(ctx, change(0, "ordinary"))
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Change(ctx, registrar.Change{ID: "x", ExpectedRevision: 1, Preset: "night"})
		Expect(err).To(Equal(&registrar.RefusedError{Reason: `preset "night" is none of the declared ones ["ordinary"]`}))
	})

	DescribeTable("stays unknown after a lost response unless another instance knows the outcome",
		func(next func(f *fixture) netip.AddrPort) {
			// The first instance accepts the change and crashes before it responds.
			// The other instance cannot know the outcome. Reporting "not accepted"
			// would make the operator repeat an accepted change.
			lossy := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				f.handler.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			}))
			_, err := client("token of kim", lossy, next(f)).Change(ctx, change(0, "ordinary"))
			var unknown *registrar.UnknownError
			Expect(errors.As(err, &unknown)).To(BeTrue(), "%v", err)
		},
		Entry("the next is down", func(*fixture) netip.AddrPort { return closedAddress() }),
		Entry("the next has no quorum", func(*fixture) netip.AddrPort {
			other := newFixture()
			other.voter.failure = errNoQuorum
			return serve(other.handler)
		}),
		Entry("the next is too old to support the request", func(*fixture) netip.AddrPort {
			return serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				r.Body = io.NopCloser(strings.NewReader(`{"new-key": 1}`))
				newFixture().handler.ServeHTTP(w, r)
			}))
		}),
		Entry("the next does not accept the token", func(f *fixture) netip.AddrPort {
			return serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				r.Header.Del("Authorization")
				f.handler.ServeHTTP(w, r)
			}))
		}),
	)

	It("treats a conflict as final after a lost response", func() {
		// The first instance crashes before it proposes Kim's change, after Ada's
		// change was accepted. The replicated state rejects Kim's expected revision
		// permanently, so the outcome is known.
		_, err := client("token of ada", serve(f.handler)).Change(ctx, change(0, "peak"))
		Expect(err).NotTo(HaveOccurred())
		lossy := serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		_, err = client("token of kim", lossy, serve(f.handler)).Change(ctx, change(0, "ordinary"))
		Expect(err).To(BeAssignableToTypeOf(&registrar.ConflictError{}))
	})

	It("reports that nothing was accepted if no instance can be reached", func() {
		_, err := client("token of kim", closedAddress(), closedAddress()).Change(ctx, change(0, "ordinary"))
		var unavailable *registrar.UnavailableError
		Expect(errors.As(err, &unavailable)).To(BeTrue(), "%v", err)
	})

	It("answers before the client gives up when the voters have no majority", func() {
		// Two of three voters are lost. The third retries until its timeout and
		// knows that it never proposed the change. It must respond before the
		// client's own timeout, after which the outcome would be unknown.
		f.voter.blockProposals, f.voter.failure = true, errNoQuorum
		_, err := client("token of kim", serve(f.handler)).Change(ctx, change(0, "ordinary"))
		Expect(errors.HasType(err, (*registrar.UnavailableError)(nil))).To(BeTrue(), "%v", err)
	})

	It("returns each kind of error to the client", func() {
		c := client("token of kim", serve(f.handler))
		f.voter.failure = errNoQuorum
		_, err := c.Change(ctx, change(0, "ordinary"))
		Expect(err).To(Equal(&registrar.UnavailableError{Reason: "no quorum", RetryAfter: 2 * time.Second}))
		f.voter.failure = errLeaderLost
		_, err = c.Change(ctx, change(0, "ordinary"))
		Expect(errors.HasType(err, (*registrar.UnknownError)(nil))).To(BeTrue())
		Expect(err).To(MatchError(ContainSubstring("lost the leader")))
	})
})

var _ = Describe("ReplicatedConfigStore", func() {
	It("reports an unknown outcome if the result holds no answer to the change", func() {
		r := registrar.NewReplicatedConfigStore(registrar.ReplicatedConfigStoreOptions{
			Propose: func(context.Context, []byte) (registry.Result, error) { return registry.Result{}, nil },
		})
		_, err := r.Change(ctx, change(0, "ordinary"))
		Expect(err).To(MatchError(ContainSubstring("holds no answer")))
		Expect(errors.HasType(err, (*registrar.RefusedError)(nil))).To(BeFalse())
		Expect(errors.HasType(err, (*registrar.UnavailableError)(nil))).To(BeFalse())
	})
})

var _ = Describe("ChangeID", func() {
	It("differs for different changes", func() {
		ids := map[string]bool{
			registrar.ChangeID(0, []byte("ab"), "c"): true,
			registrar.ChangeID(1, []byte("ab"), "c"): true,
			registrar.ChangeID(0, []byte("a"), "bc"): true,
			registrar.ChangeID(0, nil, "abc"):        true,
		}
		Expect(ids).To(HaveLen(4))
		Expect(ids).To(HaveKey(registrar.ChangeID(0, []byte("ab"), "c")))
	})
})

var _ = Describe("Registrar", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	post := func(body string) *httptest.ResponseRecorder {
		request := httptest.NewRequest(http.MethodPost, "/operator/v1/changes", strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer token of kim")
		recorder := httptest.NewRecorder()
		f.handler.ServeHTTP(recorder, request)
		return recorder
	}

	DescribeTable("rejects invalid input with one clear error and changes nothing",
		func(body string, status int, message string) {
			response := post(body)
			Expect(response.Code).To(Equal(status))
			Expect(response.Header().Get(outcome.Header)).To(Equal("not-run"))
			Expect(response.Body.String()).To(ContainSubstring(message))
			Expect(f.activeConfig().Revision).To(BeZero())
		},
		Entry("invalid JSON", "{", 400, "the body is no change"),
		Entry("invalid UTF-8", "\xff\xfe", 400, "the body is no change"),
		Entry("an unknown key", `{"change-id":"x","expected-revision":0,"preset":"p","force":true}`, 400, `unknown field \"force\"`),
		Entry("two changes", `{"change-id":"x","expected-revision":0,"preset":"p"}{}`, 400, "goes on after the change"),
		Entry("an empty object", `{}`, 400, "change-id must have from 1 to 128 bytes; expected-revision is missing; neither declarations nor preset"),
		Entry("a huge change id", `{"change-id":"`+strings.Repeat("x", 129)+`","expected-revision":0,"preset":"p"}`, 400, "change-id must have"),
		Entry("invalid declarations", `{"change-id":"x","expected-revision":0,"declarations":{"format":1,"presets":[]}}`, 422, `"place":"declarations","problem":"no preset is declared`),
		Entry("declarations of a newer version", `{"change-id":"x","expected-revision":0,"declarations":{"format":9}}`, 422, "upgrade all instances first"),
		Entry("an oversized body", `{"preset":"`+strings.Repeat("x", 1<<20)+`"}`, 413, "the body is above 1048576 bytes"),
	)

	It("changes nothing after a truncated body", func() {
		// The client sends fewer bytes than its Content-Length and closes its side.
		// The partial body may happen to be a complete change. It must be rejected
		// nevertheless.
		address := serve(f.handler)
		var dialer net.Dialer
		connection, err := dialer.DialContext(ctx, "tcp", address.String())
		Expect(err).NotTo(HaveOccurred())
		defer connection.Close()
		fmt.Fprintf(connection, "POST /operator/v1/changes HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token of kim\r\nContent-Length: 500\r\n\r\n%s",
			`{"change-id":"x","expected-revision":0,"preset":"p"}`)
		Expect(connection.(*net.TCPConn).CloseWrite()).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(f.activeConfig().Revision).To(BeZero())
	})

	It("rejects requests without a valid token, and logs no token", func() {
		address := serve(f.handler)
		for _, token := range []string{"", "token of eve"} {
			c := client(token, address)
			_, err := c.ActiveConfig(ctx)
			Expect(err).To(MatchError(registrar.ErrUnauthorized))
			_, err = c.Status(ctx)
			Expect(err).To(MatchError(registrar.ErrUnauthorized))
			_, err = c.Change(ctx, change(0, "ordinary"))
			Expect(err).To(MatchError(registrar.ErrUnauthorized))
			_, err = c.Drain(ctx)
			Expect(err).To(MatchError(registrar.ErrUnauthorized))
		}
		Expect(f.activeConfig().Revision).To(BeZero())
		Expect(f.instance.drainedBy).To(BeEmpty())
		_, err := client("token of kim", address).Change(ctx, change(0, "ordinary"))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.log.String()).To(ContainSubstring(`"by":"kim"`))
		Expect(f.log.String()).NotTo(ContainSubstring("token of"))
	})

	It("serves only the liveness and readiness probes without a token", func() {
		get := func(path string) (int, string) {
			recorder := httptest.NewRecorder()
			f.handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
			return recorder.Code, recorder.Body.String()
		}
		expect := func(path string, code int, body string) {
			gotCode, gotBody := get(path)
			ExpectWithOffset(1, gotCode).To(Equal(code))
			ExpectWithOffset(1, gotBody).To(Equal(body))
		}
		expect("/readyz", http.StatusServiceUnavailable, "cannot confirm its configuration\n")
		f.instance.hasLease = true
		expect("/readyz", http.StatusOK, "ready\n")
		f.instance.Drain("kim")
		expect("/readyz", http.StatusServiceUnavailable, "draining\n")
		expect("/healthz", http.StatusOK, "ok\n")
		for _, path := range []string{"/", "/healthz/../operator/v1/status", "/operator/v1/status", "/healthz/", "//healthz"} {
			code, _ := get(path)
			Expect(code).To(Equal(http.StatusUnauthorized), path)
		}
	})

	It("tells the state of the instance and drains only the first address", func() {
		other := newFixture()
		c := client("token of kim", serve(f.handler), serve(other.handler))
		Expect(c.Drain(ctx)).To(Equal(3))
		status, err := c.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Draining).To(BeTrue())
		Expect(f.instance.drainedBy).To(Equal([]string{"kim"}))
		Expect(other.instance.drainedBy).To(BeEmpty())
	})
})

var _ = Describe("Client", func() {
	It("tries the next instance if one is down", func() {
		f := newFixture()
		status, err := client("token of kim", closedAddress(), serve(f.handler)).Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Name).To(Equal("a"))
	})

	It("sends the token beyond loopback only with TLS or explicit permission", func() {
		options := registrar.ClientOptions{Addresses: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.7:7602")}}
		_, err := registrar.NewClient(options)
		Expect(err).To(MatchError(ContainSubstring("without TLS the token would go to 10.0.0.7:7602")))
		options.AllowPlain = true
		_, err = registrar.NewClient(options)
		Expect(err).NotTo(HaveOccurred())
	})

	It("does not follow redirects", func() {
		reached := false
		elsewhere := serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached = true }))
		redirecting := serve(http.RedirectHandler("http://"+elsewhere.String(), http.StatusTemporaryRedirect))
		_, err := client("token of kim", redirecting).Status(ctx)
		Expect(err).To(MatchError(ContainSubstring("answered status 307")))
		Expect(reached).To(BeFalse())
	})
})
