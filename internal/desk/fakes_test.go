package desk_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/chamber"
	"github.com/lovagelift/lovagelift/internal/coroner"
	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/shuttle"
	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// specTimeout ends a spec whose request hangs. None waits for it otherwise.
const specTimeout = 20 * time.Second

// voters is the replicated state that several desks share.
type voters struct {
	mu       sync.Mutex
	registry *registry.Registry
	index    jury.Index
	// fault is asked before and after each command is applied, and may return an
	// error in place of the answer.
	fault func(command registry.Command, applied bool) error
}

func newVoters() *voters {
	return &voters{registry: registry.New(), fault: func(registry.Command, bool) error { return nil }}
}

func (v *voters) propose(command registry.Command) (registry.Result, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.fault(command, false); err != nil {
		return registry.Result{}, err
	}
	data, err := registry.Encode(command)
	if err != nil {
		return registry.Result{}, err
	}
	v.index++
	result, err := v.registry.Apply(v.index, data)
	if err == nil {
		err = v.fault(command, true)
	}
	return result, err
}

// failClaims makes the next claim fail before or after it is applied.
func (v *voters) failClaims(afterApply bool, with error) {
	v.failNext(func(command registry.Command) bool { _, ok := command.(docket.Claim); return ok }, afterApply, with)
}

func (v *voters) failNext(matches func(registry.Command) bool, afterApply bool, with error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	failed := false
	v.fault = func(command registry.Command, applied bool) error {
		if failed || applied != afterApply || !matches(command) {
			return nil
		}
		failed = true
		return with
	}
}

var (
	errNoQuorum   = errors.Mark(errors.New("no quorum"), chamber.ErrNotAccepted)
	errAnswerLost = errors.New("the answer was lost")
)

// fakeInstance is what a desk asks of its instance.
type fakeInstance struct {
	voters  *voters
	gazette *gazette.Gazette

	// issues counts how often the configuration was taken.
	issues atomic.Int32

	mu        sync.Mutex
	refusal   *desk.RefusalError
	upstreams []roster.Upstream
	// places is how many requests each upstream says that it runs at once, 0 if
	// it does not say.
	places int
}

func (f *fakeInstance) Admits(time.Time) *desk.RefusalError {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusal
}

func (f *fakeInstance) Entries(time.Time, string) desk.Entries {
	return desk.Entries{List: []desk.Entry{{Name: "a", Address: "127.0.0.1:1", FailureDomain: "d"}}, Keep: time.Second}
}

func (f *fakeInstance) Upstreams(time.Time) []roster.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams
}

func (f *fakeInstance) Upstream(name string) (roster.Upstream, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, upstream := range f.upstreams {
		if upstream.Announcement.Name == name {
			return upstream, true
		}
	}
	return roster.Upstream{}, false
}

func (f *fakeInstance) Issue() *gazette.Issue {
	f.issues.Add(1)
	return f.gazette.Latest()
}

func (f *fakeInstance) Propose(_ context.Context, command registry.Command) (registry.Result, error) {
	return f.voters.propose(command)
}

func (f *fakeInstance) Lookup(_ context.Context, key docket.Key) (docket.Answer, error) {
	return f.voters.registry.Lookup(key), nil
}

// serveAt makes the given addresses the upstreams of the service "booking" and
// the model "m".
func (f *fakeInstance) serveAt(addresses ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams = nil
	for n, address := range addresses {
		f.upstreams = append(f.upstreams,
			roster.Upstream{Announcement: upstreamapi.Announcement{
				Name: "service-" + string(rune('0'+n)), Kind: upstreamapi.KindService,
				Address: address, Services: []string{"booking"},
				Load: upstreamapi.Load{MaxRunning: f.places},
			}},
			roster.Upstream{Announcement: upstreamapi.Announcement{
				Name: "engine-" + string(rune('0'+n)), Kind: upstreamapi.KindEngine,
				Address: address, Resident: []upstreamapi.Resident{{Model: "m"}},
				Load: upstreamapi.Load{MaxRunning: f.places},
			}})
	}
}

// serveAt also tells the desk. Upstreams that are not among the given ones any
// more have left.
func (e *entrance) serveAt(addresses ...string) {
	e.sequence++
	gone := e.Upstreams(time.Now())
	e.fakeInstance.serveAt(addresses...)
	e.tell(gone, true)
	e.sequence++
	e.tell(e.Upstreams(time.Now()), false)
}

func (e *entrance) tell(upstreams []roster.Upstream, leaving bool) {
	var told []roster.Upstream
	for _, upstream := range upstreams {
		upstream.Announcement.Sequence = e.sequence
		upstream.Heard = time.Now()
		upstream.Leaving = leaving
		told = append(told, upstream)
	}
	e.desk.Update(told)
}

// entrance is a desk behind a listener.
type entrance struct {
	*fakeInstance
	desk    *desk.Desk
	coroner *coroner.Coroner
	url     string
	// sequence is that of the last announcement.
	sequence uint64
}

// newEntrance returns a desk whose limits are those of all tests, changed as told.
func newEntrance(v *voters, name string, changes ...func(*desk.Limits)) *entrance {
	limits := desk.Limits{BodyBytes: 1 << 10, Deadline: 10 * time.Second, ProgressWait: 500 * time.Millisecond}
	for _, change := range changes {
		change(&limits)
	}
	instance := &fakeInstance{voters: v, gazette: gazette.New()}
	carrier := shuttle.New(shuttle.Options{})
	seeker := coroner.New(coroner.Options{
		Contact: func(quarantine.Place) quarantine.Contact { return quarantine.ContactNone },
		Report: func(_ context.Context, update quarantine.Update) bool {
			_, err := v.propose(update)
			return err == nil
		},
		Line: func(string) *zerolog.Event { return nil },
		Now:  time.Now,
	})
	d := desk.New(desk.Options{
		Coroner: seeker, Instance: instance, Name: name, Incarnation: 1, Shuttle: carrier, Now: time.Now, Log: zerolog.New(GinkgoWriter).With().Timestamp().Logger(),
		UpstreamLease: time.Hour,
		Limits:        limits,
	})
	server := httptest.NewServer(d)
	DeferCleanup(func() {
		server.Close()
		d.Wait()
		seeker.Close()
		carrier.Close()
	})
	return &entrance{fakeInstance: instance, desk: d, coroner: seeker, url: server.URL}
}

// told is what a caller is told.
type told struct {
	status   int
	outcome  string
	replayed bool
	body     string
	header   http.Header
	// cutOff is true if the answer ended before it was whole.
	cutOff bool
}

func (e *entrance) call(ctx context.Context, method, path, key, body string) told {
	request, err := http.NewRequestWithContext(ctx, method, e.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	if key != "" {
		request.Header.Set(desk.KeyHeader, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return told{cutOff: true}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return told{
		status:   response.StatusCode,
		outcome:  response.Header.Get("Lovagelift-Outcome"),
		replayed: response.Header.Get("Lovagelift-Replayed") == "true",
		body:     string(data),
		header:   response.Header,
		cutOff:   err != nil,
	}
}

func (e *entrance) book(ctx context.Context, key, body string) told {
	return e.call(ctx, http.MethodPost, "/services/booking/book", key, body)
}

// bookings is an upstream that counts what it ran.
type bookings struct {
	*httptest.Server

	mu   sync.Mutex
	runs int
	// then is what the upstream does with a request that it has counted. Nil
	// answers "booked".
	then http.HandlerFunc
}

func newBookings(then http.HandlerFunc) *bookings {
	b := &bookings{then: then}
	b.Server = httptest.NewServer(http.HandlerFunc(b.serve))
	DeferCleanup(b.Close)
	return b
}

func (b *bookings) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	b.mu.Lock()
	b.runs++
	then := b.then
	b.mu.Unlock()
	if then != nil {
		then(w, r)
		return
	}
	_, _ = io.WriteString(w, "booked")
}

func (b *bookings) address() string {
	return b.Listener.Addr().String()
}

func (b *bookings) counted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs
}

func (b *bookings) recover() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.then = nil
}

// die ends the connection without an answer.
func die(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

// breakOff ends the connection in the middle of the answer.
func breakOff(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "boo")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// refuse says that the request was not run.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(upstreamapi.RefusedHeader, "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// nobody returns an address that refuses connections.
func nobody() string {
	listener, err := standin.Listen()
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

// answerAndDie ends the connection after the whole answer.
func answerAndDie(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbooked")
}

// dyingAfter returns the address of an upstream that ends each connection once
// it has read what ends in text.
func dyingAfter(text string) string {
	listener, err := standin.Listen()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			readUntil(conn, text)
			conn.Close()
		}
	}()
	return listener.Addr().String()
}

func readUntil(conn net.Conn, text string) {
	var read []byte
	for next := make([]byte, 1); !strings.HasSuffix(string(read), text); {
		if _, err := io.ReadFull(conn, next); err != nil {
			return
		}
		read = append(read, next[0])
	}
}

// crash asks for a completion that ends the upstreams of newCrashing.
func (e *entrance) crash(ctx context.Context, body string) told {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Spec-Body", "crash")
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return told{
		status: response.StatusCode, outcome: response.Header.Get("Lovagelift-Outcome"), body: string(data), header: response.Header,
	}
}
