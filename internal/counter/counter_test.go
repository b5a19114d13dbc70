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
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// specTimeout bounds what a spec waits for. Nothing takes a tenth of it.
const specTimeout = 20 * time.Second

// The headers of the protocol that these specs speak with upstreams.
const (
	idHeader     = "Spec-Request"
	notRunHeader = "Spec-Not-Run"
	limitHeader  = "Spec-Limit"
)

// dialect is that protocol.
type dialect struct{}

func (dialect) Prepare(header http.Header, attempt counter.Attempt) {
	header.Set("Spec-Upstream", attempt.Upstream)
	header.Set("Spec-Remaining", attempt.Remaining.String())
}

func (dialect) Judge(response *http.Response, requestID string) counter.Judgement {
	switch {
	case response.Header.Get(notRunHeader) != "":
		return counter.NotRun
	case response.Header.Get(idHeader) != requestID:
		return counter.Mismatched
	default:
		return counter.Answered
	}
}

func (dialect) Limit(header http.Header) ratelimit.Said {
	text := header.Get(limitHeader)
	if text == "" {
		return ratelimit.Unnamed{}
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return ratelimit.Unclear{Text: text}
	}
	return ratelimit.Named{Limit: ratelimit.Limit(limit)}
}

// withoutLook is the content of the second version of the routes, of which one is dropped.
const withoutLook = "without-look"

// table is the routes of all specs.
func table(content []byte) (*routes.Table, error) {
	route := func(name string, kind routes.Kind, change func(*routes.Route)) routes.Route {
		r := routes.Route{
			Name: name, Host: "spec.test", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second,
			Attempts: 2, Shares: []routes.Share{{Service: "desk", Weight: 1}},
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
	if string(content) == withoutLook {
		draft.Version = 2
		draft.Routes = draft.Routes[1:]
	}
	return routes.New(draft)
}

// control is a control instance that tells of upstreams.
type control struct {
	mu     sync.Mutex
	roster *roster.Roster
	told   []courier.SyncArgs
	// silent is true while it knows no leader.
	leaderless bool
	// behind is true while it has not caught up with what is committed, and dropped once
	// the second version of the routes is.
	behind  bool
	dropped bool
	address string
	// entries are the entry instances beside the asker, and wants how many calls for a
	// model or an adapter came.
	entries []string
	wants   int
	// exactly are all entry instances, if they are set.
	exactly []string
	// quarantine is told of requests in quarantine, if it is set, and noted what was
	// reported of crashes.
	quarantine *quarantine.News
	noted      quarantine.Update
}

func newControl() *control {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	c := &control{
		address: listener.Addr().String(),
		roster:  roster.New(roster.Options{Self: "control", Incarnation: 1, Lease: time.Minute}),
	}
	server, err := courier.NewServer(listener, courier.Services{Others: map[string]any{"Feed": courier.NewFeedService(c)}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return c
}

func (c *control) Sync(_ context.Context, args courier.SyncArgs) courier.SyncReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = append(c.told, args)
	reply := courier.SyncReply{
		Leader: c.address, Reading: edition.Reading{Version: 1, Confirmed: !c.behind},
		Changes: c.roster.Since(time.Now(), args.Cursor),
		Members: &courier.Members{Controls: []string{c.address}, Entries: append([]string{args.From.Name}, c.entries...)},
	}
	if c.exactly != nil {
		reply.Members.Entries = c.exactly
	}
	if c.quarantine != nil && c.quarantine.Mark != args.Quarantine {
		reply.Quarantine = c.quarantine
	}
	if c.leaderless {
		reply.Leader = ""
	}
	held := edition.Edition{Version: 1, Content: []byte("{}")}
	if c.dropped && !c.behind {
		held = edition.Edition{Version: 2, Content: []byte(withoutLook)}
	}
	reply.Reading.Version = held.Version
	if args.Edition < held.Version {
		reply.Edition = &held
	}
	return reply
}

// lead says whether the control instance knows a leader: if not, it is not listened to.
func (c *control) lead(leads bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderless = !leads
}

// drop has the second version of the routes be committed.
func (c *control) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped = true
}

// fallBehind says whether the control instance has still to catch up.
func (c *control) fallBehind(behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behind = behind
}

func (c *control) Note(_ context.Context, args courier.NoteArgs) courier.NoteReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noted = c.noted.With(args.Update)
	return courier.NoteReply{Recorded: true}
}

func (c *control) Gather(context.Context, courier.GatherArgs) courier.GatherReply {
	return courier.GatherReply{}
}

func (c *control) Want(context.Context, courier.WantArgs) courier.WantReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wants++
	return courier.WantReply{Reason: "none"}
}

// limited returns the limits that it was told of last.
func (c *control) limited() []courier.LimitedUpstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.told[len(c.told)-1].Limited
}

// wanted returns how many calls for a model or an adapter came.
func (c *control) wanted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wants
}

// among has the asker be one of so many entry instances.
func (c *control) among(instances int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range instances - 1 {
		c.entries = append(c.entries, fmt.Sprintf("127.0.0.1:%d", 10+i))
	}
}

// instances has control tell of the entry instances at some addresses alone.
func (c *control) instances(addresses ...netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		c.exactly = append(c.exactly, address.String())
	}
}

// leave has control tell that an upstream leaves.
func (c *control) leave(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roster.Leave(time.Now(), upstreamapi.Leave{Name: name, Incarnation: 1})
}

func (c *control) announce(name, address string, models ...string) {
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

// reborn has control tell that a process has started again under the name of an upstream.
func (c *control) reborn(name, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	Expect(c.roster.Announce(time.Now(), upstreamapi.Announcement{
		Name: name, Incarnation: 2, Sequence: 1, Address: address, Services: []string{"desk"},
		Load: upstreamapi.Load{MaxRunning: 8},
	})).To(Succeed())
}

// upstream answers with a script and counts what reached it.
type upstream struct {
	mu       sync.Mutex
	arrivals []string
	server   *httptest.Server
}

func newUpstream(answer http.HandlerFunc) *upstream {
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

// good answers a request whole.
func good(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

// breaking closes the connection without an answer.
func breaking(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	Expect(err).NotTo(HaveOccurred())
	conn.Close()
}

// raw answers with bytes of its own and closes the connection.
func raw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get(idHeader)))
		conn.Close()
	}
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(notRunHeader, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// entry is a Counter behind a listener.
type entry struct {
	upstreams []*upstream
	control   *control
	counter   *counter.Counter
	server    *httptest.Server
	// skipped is how far the instance's clock is ahead, in nanoseconds.
	skipped atomic.Int64
}

// now is the instance's clock.
func (e *entry) now() time.Time {
	return time.Now().Add(time.Duration(e.skipped.Load()))
}

func newEntry(upstreams ...*upstream) *entry {
	e := &entry{control: newControl(), upstreams: upstreams}
	for i, u := range upstreams {
		e.control.announce(fmt.Sprint("u", i), u.address())
	}
	e.counter = counter.New(counter.Options{
		Name: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", FailureDomain: "here", Seeds: []string{e.control.address},
		Dial: courier.DialTCP, UpstreamLease: time.Minute,
		Retries: counter.RetryLimits{Share: 0.1, Slack: 20, Window: 10 * time.Second},
		Table:   table, Dialect: dialect{}, Now: e.now, Log: zerolog.Nop(),
	})
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.counter.Serve(w, r, counter.Call{ID: r.Header.Get(idHeader), Patience: 5 * time.Second})
	}))
	DeferCleanup(func() {
		e.server.CloseClientConnections()
		e.server.Close()
		e.counter.Close()
	})
	Eventually(e.counter.Serves, specTimeout).Should(BeTrue())
	return e
}

// arrivals returns how many requests have reached all upstreams.
func (e *entry) arrivals() int {
	total := 0
	for _, u := range e.upstreams {
		total += u.count()
	}
	return total
}

// broken reports whether a request has reached the first upstream.
func (e *entry) broken() bool {
	return e.upstreams[0].count() > 0
}

// ask sends a request and returns the status, the body and the error of reading.
func (e *entry) ask(ctx context.Context, method, path, body string) (*http.Response, string, error) {
	GinkgoHelper()
	request, err := http.NewRequestWithContext(ctx, method, e.server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "spec.test"
	request.Header.Set(idHeader, "r1")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

var _ = Describe("Counter", func() {
	It("passes a request on unchanged and its answer back", func(ctx SpecContext) {
		e := newEntry(newUpstream(good))
		response, text, err := e.ask(ctx, http.MethodPost, "/book/a%2Fb?x=%20y", "seat 7")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(response.Header.Get(idHeader)).To(Equal("r1"))
		Expect(text).To(Equal("POST /book/a%2Fb?x=%20y seat 7"))
	}, SpecTimeout(specTimeout))

	It("says that there is no route", func(ctx SpecContext) {
		response, _, err := newEntry().ask(ctx, http.MethodGet, "/elsewhere/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
	}, SpecTimeout(specTimeout))

	// The upstream has read a booking and breaks off. It may have run: sent again it
	// could charge the rider twice, and 503 would promise that it has not run.
	It("sends what must not run twice once, and promises nothing", func(ctx SpecContext) {
		e := newEntry(newUpstream(breaking), newUpstream(breaking))
		response, _, err := e.ask(ctx, http.MethodPost, "/book/", "seat 7")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(response.Header.Get("Retry-After")).To(BeEmpty())
		Expect(e.arrivals()).To(Equal(1))
	}, SpecTimeout(specTimeout))

	It("tries what may run twice at another upstream", func(ctx SpecContext) {
		first := newUpstream(breaking)
		second := newUpstream(good)
		e := newEntry(first, second)
		for range 4 {
			response, _, err := e.ask(ctx, http.MethodGet, "/look/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
	}, SpecTimeout(specTimeout))

	// No upstream of an attempt has run the request, as each says itself. The caller
	// must learn that, and when to come back.
	It("answers 503 with Retry-After when no upstream has run the request", func(ctx SpecContext) {
		e := newEntry(newUpstream(notRun))
		response, _, err := e.ask(ctx, http.MethodPost, "/book/", "seat 7")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	}, SpecTimeout(specTimeout))

	// A first upstream runs an idempotent request and breaks off, a second one
	// refuses. Together that is not "not run".
	It("does not say not run once an upstream may have run the request", func(ctx SpecContext) {
		e := newEntry(newUpstream(breaking), newUpstream(notRun))
		for range 6 {
			response, _, err := e.ask(ctx, http.MethodGet, "/look/", "")
			Expect(err).NotTo(HaveOccurred())
			if e.broken() {
				Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
				return
			}
		}
		Fail("the request never reached the upstream that breaks off")
	}, SpecTimeout(specTimeout))

	DescribeTable("gives no caller an answer that is not its own or not whole",
		func(ctx SpecContext, answer string) {
			e := newEntry(newUpstream(raw(answer)))
			response, text, err := e.ask(ctx, http.MethodPost, "/book/", "seat 7")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(text).NotTo(ContainSubstring("secret"))
		},
		Entry("another request's", SpecTimeout(specTimeout), "HTTP/1.1 200 OK\r\nSpec-Request: r9\r\nContent-Length: 6\r\n\r\nsecret"),
		Entry("no request's", SpecTimeout(specTimeout), "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret"),
		Entry("cut off", SpecTimeout(specTimeout), "HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nContent-Length: 60\r\n\r\nsecret"),
		Entry("cut off between chunks", SpecTimeout(specTimeout),
			"HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecret\r\n"),
		Entry("no answer in the protocol", SpecTimeout(specTimeout), "secret secret secret\r\n\r\n"),
	)

	// An engine dies in the middle of a stream. The caller's connection must break:
	// a stream that just ends would look whole.
	It("breaks a stream off where its upstream does", func(ctx SpecContext) {
		e := newEntry(newUpstream(raw(
			"HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n")))
		_, text, err := e.ask(ctx, http.MethodPost, "/write/", "a reply")
		Expect(err).To(HaveOccurred())
		Expect(text).To(Equal("data: a\n\n"))
	}, SpecTimeout(specTimeout))

	It("passes events on as they come", func(ctx SpecContext) {
		next := make(chan struct{})
		e := newEntry(newUpstream(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(idHeader, r.Header.Get(idHeader))
			for _, event := range []string{"data: a\n\n", "data: b\n\n"} {
				_, _ = io.WriteString(w, event)
				_ = http.NewResponseController(w).Flush()
				<-next
			}
		}))
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL+"/write/", nil)
		Expect(err).NotTo(HaveOccurred())
		request.Host = "spec.test"
		request.Header.Set(idHeader, "r1")
		response, err := http.DefaultTransport.RoundTrip(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		lines := bufio.NewScanner(response.Body)
		Expect(lines.Scan()).To(BeTrue())
		Expect(lines.Text()).To(Equal("data: a"), "the second event is not made yet")
		close(next)
		Expect(lines.Scan()).To(BeTrue())
		Expect(lines.Text()).To(BeEmpty(), "the end of the first event")
		Expect(lines.Scan()).To(BeTrue())
		Expect(lines.Text()).To(Equal("data: b"))
	}, SpecTimeout(specTimeout))

	// A caller gives up. Its engine must not go on for nobody.
	It("cancels at the upstream when the caller leaves", func(ctx SpecContext) {
		cancelled := make(chan struct{})
		reached := make(chan struct{})
		e := newEntry(newUpstream(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			close(reached)
			<-r.Context().Done()
			close(cancelled)
		}))
		asking, leave := context.WithCancel(ctx)
		go func() {
			defer GinkgoRecover()
			_, _, err := e.ask(asking, http.MethodPost, "/write/", "a reply")
			Expect(err).To(HaveOccurred())
		}()
		Eventually(ctx, reached).Should(BeClosed())
		leave()
		Eventually(ctx, cancelled).Should(BeClosed())
	}, SpecTimeout(specTimeout))

	It("answers by the route's timeout", func(ctx SpecContext) {
		e := newEntry(newUpstream(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			<-r.Context().Done()
		}))
		response, _, err := e.ask(ctx, http.MethodGet, "/short/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
	}, SpecTimeout(specTimeout))

	It("tells a caller at once when nobody of the service is there in time", func(ctx SpecContext) {
		response, _, err := newEntry().ask(ctx, http.MethodGet, "/empty/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	}, SpecTimeout(specTimeout))

	// A control instance is cut off from the others. It goes on answering, with what
	// was in force before the cut; whoever listened to it would serve old routes.
	It("does not listen to a control instance that knows no leader", func(ctx SpecContext) {
		e := newEntry(newUpstream(good))
		other := newControl()
		e.control.mu.Lock()
		e.control.leaderless = true
		e.control.mu.Unlock()
		e.counter.Seed([]string{other.address})
		Eventually(ctx, func() int {
			other.mu.Lock()
			defer other.mu.Unlock()
			return len(other.told)
		}).Should(BeNumerically(">", 0))
	}, SpecTimeout(specTimeout))

	It("says that it stops as soon as a planned stop begins, and serves on", func(ctx SpecContext) {
		e := newEntry(newUpstream(good))
		e.counter.Drain()
		Expect(e.counter.Serves()).To(BeFalse())
		Eventually(ctx, func() bool {
			e.control.mu.Lock()
			defer e.control.mu.Unlock()
			return e.control.told[len(e.control.told)-1].From.Beat.Draining
		}).Should(BeTrue())
		response, _, err := e.ask(ctx, http.MethodGet, "/look/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}, SpecTimeout(specTimeout))
})
