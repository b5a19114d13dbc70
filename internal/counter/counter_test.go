package counter_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/quota"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/shuttle"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

// specTimeout bounds each wait of a spec. No spec needs a tenth of it.
const specTimeout = 20 * time.Second

// Headers of the protocol that these specs use with upstreams.
const (
	idHeader     = "Spec-Request"
	notRunHeader = "Spec-Not-Run"
	limitHeader  = "Spec-Limit"
	keyHeader    = "Spec-Key"

	pushbackHeader = "Spec-Pushback"
	leavingHeader  = "Spec-Leaving"

	toleranceHeader = "Spec-Tolerance"
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

// Contents of the routes.
const (
	allRoutes = "{}"
	// withoutLookRoute lacks the route "look".
	withoutLookRoute = "without-look"
	// withKeys needs the key "clerk-key" for all routes but "look", and withNewKeys the key
	// "new-key". The workspace has a quota of 1 request, and another one a minute later.
	withKeys    = "with-keys"
	withNewKeys = "with-new-keys"
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
			route("short", routes.Idempotent, func(r *routes.Route) { r.Timeout = 200 * time.Millisecond }),
			route("empty", routes.Idempotent, func(r *routes.Route) { r.Shares[0].Service = "nobody" }),
		},
		Services: []routes.Service{{Name: "desk"}, {Name: "nobody"}},
	}
	switch string(content) {
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
	}
	return routes.New(draft)
}

// openEntries are the entry instances that accept requests.
var openEntries = map[string][]string{"here": {"127.0.0.1:2", "127.0.0.1:3"}, "there": {"127.0.0.1:4"}}

// fakeControl is a control instance that serves syncs.
type fakeControl struct {
	mu     sync.Mutex
	roster *roster.Roster
	syncs  []courier.SyncArgs
	// leaderless is true while the control instance knows no leader.
	leaderless bool
	// catchingUp is true while the control instance has not applied all committed changes.
	// editions are the contents of the committed versions of the routes, the first one being 1.
	catchingUp bool
	editions   []string
	address    string
	// otherEntries are the entry instances other than the caller. loadCalls is the number of load
	// calls received.
	otherEntries []string
	loadCalls    int
	// exactEntries, if set, are all entry instances.
	exactEntries []string
	// quarantine, if set, is served to the callers. reported holds the reported crashes.
	quarantine *quarantine.News
	reported   quarantine.Update
}

func newFakeControl() *fakeControl {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	c := &fakeControl{
		address: listener.Addr().String(), editions: []string{allRoutes},
		roster: roster.New(roster.Options{Self: "control", Incarnation: 1, Lease: time.Minute}),
	}
	server, err := courier.NewServer(listener, courier.Services{Others: map[string]any{"Feed": courier.NewFeedService(c)}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return c
}

func (c *fakeControl) Sync(_ context.Context, args courier.SyncArgs) courier.SyncReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.syncs = append(c.syncs, args)
	reply := courier.SyncReply{
		Leader: c.address, Reading: edition.Reading{Version: 1, Confirmed: !c.catchingUp},
		Changes: c.roster.Since(time.Now(), args.Cursor),
		Members: &courier.Members{Controls: []string{c.address}, Entries: append([]string{args.From.Name}, c.otherEntries...), Open: openEntries},
	}
	if c.exactEntries != nil {
		reply.Members.Entries = c.exactEntries
	}
	if c.quarantine != nil && c.quarantine.Mark != args.Quarantine {
		reply.Quarantine = c.quarantine
	}
	if c.leaderless {
		reply.Leader = ""
	}
	last := len(c.editions) - 1
	if c.catchingUp {
		last = 0
	}
	current := edition.Edition{Version: uint64(last + 1), Content: []byte(c.editions[last])}
	reply.Reading.Version = current.Version
	if args.Edition < current.Version {
		reply.Edition = &current
	}
	return reply
}

// setHasLeader sets whether the control instance knows a leader. Its replies are ignored if not.
func (c *fakeControl) setHasLeader(hasLeader bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderless = !hasLeader
}

// commit commits the next version of the routes.
func (c *fakeControl) commit(content string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.editions = append(c.editions, content)
}

// setCatchingUp sets whether the control instance lags behind.
func (c *fakeControl) setCatchingUp(catchingUp bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catchingUp = catchingUp
}

func (c *fakeControl) Note(_ context.Context, args courier.NoteArgs) courier.NoteReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported = c.reported.With(args.Update)
	return courier.NoteReply{Recorded: true}
}

func (c *fakeControl) Gather(context.Context, courier.GatherArgs) courier.GatherReply {
	return courier.GatherReply{}
}

func (c *fakeControl) Want(context.Context, courier.WantArgs) courier.WantReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadCalls++
	return courier.WantReply{Reason: "none"}
}

// reportedLimits returns the limits in the latest sync.
func (c *fakeControl) reportedLimits() []courier.LimitedUpstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.syncs[len(c.syncs)-1].Limited
}

// loadCallCount returns the number of load calls received.
func (c *fakeControl) loadCallCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadCalls
}

// setEntryCount sets the number of entry instances, including the caller.
func (c *fakeControl) setEntryCount(instances int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range instances - 1 {
		c.otherEntries = append(c.otherEntries, fmt.Sprintf("127.0.0.1:%d", 10+i))
	}
}

// addExactEntries adds to the list of all entry instances.
func (c *fakeControl) addExactEntries(addresses ...netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		c.exactEntries = append(c.exactEntries, address.String())
	}
}

// announceLeave announces that an upstream is leaving.
func (c *fakeControl) announceLeave(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roster.Leave(time.Now(), upstreamapi.Leave{Name: name, Incarnation: 1})
}

func (c *fakeControl) announce(name, address string, models ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var resident []upstreamapi.Resident
	for _, model := range models {
		resident = append(resident, upstreamapi.Resident{Model: model})
	}
	Expect(c.roster.Announce(time.Now(), upstreamapi.Announcement{
		Name: name, Incarnation: 1, Sequence: 1, Address: address, Services: []string{"desk"},
		Load: upstreamapi.Load{MaxRunning: 8}, Resident: resident,
	})).To(Succeed())
}

// announceRestart announces that a process has restarted under the name of an upstream.
func (c *fakeControl) announceRestart(name, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	Expect(c.roster.Announce(time.Now(), upstreamapi.Announcement{
		Name: name, Incarnation: 2, Sequence: 1, Address: address, Services: []string{"desk"},
		Load: upstreamapi.Load{MaxRunning: 8},
	})).To(Succeed())
}

// upstream responds with a handler and records the requests that reach it.
type upstream struct {
	mu       sync.Mutex
	arrivals []string
	server   *httptest.Server
}

func newFakeUpstream(answer http.HandlerFunc) *upstream {
	u := &upstream{}
	u.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		u.arrivals = append(u.arrivals, r.Header.Get(idHeader))
		u.mu.Unlock()
		answer(w, r)
	}))
	DeferCleanup(func() {
		u.server.CloseClientConnections()
		u.server.Close()
	})
	return u
}

func (u *upstream) address() string {
	return u.server.Listener.Addr().String()
}

func (u *upstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.arrivals)
}

// succeed sends a complete response.
func succeed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

// closeWithoutResponse closes the connection without a response.
func closeWithoutResponse(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	Expect(err).NotTo(HaveOccurred())
	conn.Close()
}

// respondRaw sends raw bytes and closes the connection.
func respondRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get(idHeader)))
		conn.Close()
	}
}

func refuseNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(notRunHeader, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// testProxy is a Proxy behind a listener.
type testProxy struct {
	upstreams []*upstream
	control   *fakeControl
	proxy     *counter.Proxy
	server    *httptest.Server
	// clockOffset is the offset of the instance's clock in nanoseconds.
	clockOffset atomic.Int64
}

func (p *testProxy) now() time.Time {
	return time.Now().Add(time.Duration(p.clockOffset.Load()))
}

func newTestProxy(upstreams ...*upstream) *testProxy {
	p := &testProxy{control: newFakeControl(), upstreams: upstreams}
	for i, u := range upstreams {
		p.control.announce(fmt.Sprint("u", i), u.address())
	}
	p.proxy = counter.New(counter.Options{
		Name: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", FailureDomain: "here", Seeds: []string{p.control.address},
		Dial: courier.DialTCP, UpstreamLease: time.Minute,
		Retries:        counter.RetryLimits{Ratio: 0.1, Burst: 20, Window: 10 * time.Second},
		QuotaTolerance: quota.Tolerance{Window: time.Second, Slack: 2},
		ParseRoutes:    parseRoutes, Dialect: dialect{}, Now: p.now, Log: zerolog.Nop(),
	})
	p.server = startCallerServer(func(w http.ResponseWriter, r *http.Request) {
		p.proxy.ServeRequest(w, r, counter.Call{ID: r.Header.Get(idHeader), Key: r.Header.Get(keyHeader), Timeout: 5 * time.Second})
	})
	DeferCleanup(func() {
		p.server.CloseClientConnections()
		p.server.Close()
		p.proxy.Close()
	})
	Eventually(p.proxy.Ready, specTimeout).Should(BeTrue())
	return p
}

// startCallerServer starts the server of an instance for callers.
func startCallerServer(serve http.HandlerFunc) *httptest.Server {
	server := httptest.NewUnstartedServer(serve)
	server.Config.ConnContext = shuttle.WithConn
	server.Start()
	return server
}

// firstSynced reports whether the proxy has the list of entry instances.
func (p *testProxy) firstSynced() bool {
	return p.proxy.OpenEntries(time.Now().Add(time.Hour)) != nil
}

// arrivals returns the number of requests that have reached any upstream.
func (p *testProxy) arrivals() int {
	total := 0
	for _, u := range p.upstreams {
		total += u.count()
	}
	return total
}

// firstReached reports whether a request has reached the first upstream.
func (p *testProxy) firstReached() bool {
	return p.upstreams[0].count() > 0
}

// send sends a request and returns the response, its body and any error.
func (p *testProxy) send(ctx context.Context, method, path, body string) (*http.Response, string, error) {
	GinkgoHelper()
	return p.sendWithKey(ctx, "", method, path, body)
}

// sendWithKey is send with the key of a workspace.
func (p *testProxy) sendWithKey(ctx context.Context, key, method, path, body string) (*http.Response, string, error) {
	GinkgoHelper()
	request, err := http.NewRequestWithContext(ctx, method, p.server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "spec.test"
	request.Header.Set(idHeader, "r1")
	request.Header.Set(keyHeader, key)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

var _ = Describe("Counter", func() {
	It("forwards a request unchanged and relays its response", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		response, text, err := p.send(ctx, http.MethodPost, "/book/a%2Fb?x=%20y", "seat 7")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(response.Header.Get(idHeader)).To(Equal("r1"))
		Expect(text).To(Equal("POST /book/a%2Fb?x=%20y seat 7"))
	}, SpecTimeout(specTimeout))

	It("answers 404 if there is no route", func(ctx SpecContext) {
		response, _, err := newTestProxy().send(ctx, http.MethodGet, "/elsewhere/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
	}, SpecTimeout(specTimeout))

	// An upstream receives a booking and breaks off. It may have run the booking. A retry could
	// charge the rider twice, and status 503 would state that it has not run.
	It("sends what must not run twice once, and promises nothing", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(closeWithoutResponse), newFakeUpstream(closeWithoutResponse))
		response, _, err := p.send(ctx, http.MethodPost, "/book/", "seat 7")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(response.Header.Get("Retry-After")).To(BeEmpty())
		Expect(p.arrivals()).To(Equal(1))
	}, SpecTimeout(specTimeout))

	It("retries an idempotent request at another upstream", func(ctx SpecContext) {
		first := newFakeUpstream(closeWithoutResponse)
		second := newFakeUpstream(succeed)
		p := newTestProxy(first, second)
		for range 4 {
			response, _, err := p.send(ctx, http.MethodGet, "/look/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
	}, SpecTimeout(specTimeout))

	// The upstream states that it has not run the request. The caller must learn that, and when to
	// retry.
	It("answers 503 with Retry-After when no upstream has run the request", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(refuseNotRun))
		response, _, err := p.send(ctx, http.MethodPost, "/book/", "seat 7")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	}, SpecTimeout(specTimeout))

	// One upstream may have run an idempotent request before it broke off, and a second one refuses
	// it. The result must not be "not run".
	It("does not report not-run once an upstream may have run the request", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(closeWithoutResponse), newFakeUpstream(refuseNotRun))
		for range 6 {
			response, _, err := p.send(ctx, http.MethodGet, "/look/", "")
			Expect(err).NotTo(HaveOccurred())
			if p.firstReached() {
				Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
				return
			}
		}
		Fail("the request never reached the upstream that breaks off")
	}, SpecTimeout(specTimeout))

	DescribeTable("relays no mismatched or incomplete response",
		func(ctx SpecContext, answer string) {
			p := newTestProxy(newFakeUpstream(respondRaw(answer)))
			response, text, err := p.send(ctx, http.MethodPost, "/book/", "seat 7")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(text).NotTo(ContainSubstring("secret"))
		},
		Entry("to another request", SpecTimeout(specTimeout), "HTTP/1.1 200 OK\r\nSpec-Request: r9\r\nContent-Length: 6\r\n\r\nsecret"),
		Entry("without a request id", SpecTimeout(specTimeout), "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret"),
		Entry("truncated", SpecTimeout(specTimeout), "HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nContent-Length: 60\r\n\r\nsecret"),
		Entry("truncated between chunks", SpecTimeout(specTimeout),
			"HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecret\r\n"),
		Entry("not HTTP", SpecTimeout(specTimeout), "secret secret secret\r\n\r\n"),
	)

	// An engine fails in the middle of a stream. The caller's connection must be aborted, because a
	// stream that just ends would look complete.
	It("breaks a stream off where its upstream does", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(respondRaw(
			"HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n")))
		_, text, err := p.send(ctx, http.MethodPost, "/write/", "a reply")
		Expect(err).To(HaveOccurred())
		Expect(text).To(Equal("data: a\n\n"))
	}, SpecTimeout(specTimeout))

	It("relays events as they arrive", func(ctx SpecContext) {
		next := make(chan struct{})
		p := newTestProxy(newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(idHeader, r.Header.Get(idHeader))
			for _, event := range []string{"data: a\n\n", "data: b\n\n"} {
				_, _ = io.WriteString(w, event)
				_ = http.NewResponseController(w).Flush()
				<-next
			}
		}))
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.server.URL+"/write/", nil)
		Expect(err).NotTo(HaveOccurred())
		request.Host = "spec.test"
		request.Header.Set(idHeader, "r1")
		response, err := http.DefaultTransport.RoundTrip(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		lines := bufio.NewScanner(response.Body)
		Expect(lines.Scan()).To(BeTrue())
		Expect(lines.Text()).To(Equal("data: a"), "the second event has not been sent yet")
		close(next)
		Expect(lines.Scan()).To(BeTrue())
		Expect(lines.Text()).To(BeEmpty(), "the end of the first event")
		Expect(lines.Scan()).To(BeTrue())
		Expect(lines.Text()).To(Equal("data: b"))
	}, SpecTimeout(specTimeout))

	// The engine must not continue a request that nobody waits for.
	It("cancels the upstream request when the caller disconnects", func(ctx SpecContext) {
		cancelled := make(chan struct{})
		reached := make(chan struct{})
		p := newTestProxy(newFakeUpstream(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			close(reached)
			<-r.Context().Done()
			close(cancelled)
		}))
		asking, leave := context.WithCancel(ctx)
		go func() {
			defer GinkgoRecover()
			_, _, err := p.send(asking, http.MethodPost, "/write/", "a reply")
			Expect(err).To(HaveOccurred())
		}()
		Eventually(ctx, reached).Should(BeClosed())
		leave()
		Eventually(ctx, cancelled).Should(BeClosed())
	}, SpecTimeout(specTimeout))

	It("answers within the route's timeout", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			<-r.Context().Done()
		}))
		response, _, err := p.send(ctx, http.MethodGet, "/short/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
	}, SpecTimeout(specTimeout))

	It("answers 503 with Retry-After if the service has no upstream", func(ctx SpecContext) {
		response, _, err := newTestProxy().send(ctx, http.MethodGet, "/empty/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	}, SpecTimeout(specTimeout))

	// A control instance that is partitioned from the others keeps answering with the state from
	// before the partition. Using its replies would mean serving outdated routes.
	It("does not listen to a control instance that knows no leader", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		other := newFakeControl()
		p.control.mu.Lock()
		p.control.leaderless = true
		p.control.mu.Unlock()
		p.proxy.SetSeeds([]string{other.address})
		Eventually(ctx, func() int {
			other.mu.Lock()
			defer other.mu.Unlock()
			return len(other.syncs)
		}).Should(BeNumerically(">", 0))
	}, SpecTimeout(specTimeout))

	It("reports draining as soon as a planned shutdown begins, and continues to serve", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		p.proxy.Drain()
		Expect(p.proxy.Ready()).To(BeFalse())
		Eventually(ctx, func() bool {
			p.control.mu.Lock()
			defer p.control.mu.Unlock()
			return p.control.syncs[len(p.control.syncs)-1].From.Beat.Draining
		}).Should(BeTrue())
		response, _, err := p.send(ctx, http.MethodGet, "/look/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}, SpecTimeout(specTimeout))
})
