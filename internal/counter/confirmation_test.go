package counter_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// resumedAt is the header of a request that resumes a stream after an event.
func resumedAt(event string) http.Header {
	return http.Header{resumesHeader: {"r1"}, http.CanonicalHeaderKey(lastEventIDHeader): {event}, idHeader: {"r2"}}
}

// atMost is the header of a request with a maximum of output tokens.
func atMost(tokens int) http.Header {
	return http.Header{maxOutputHeader: {strconv.Itoa(tokens)}}
}

// A worker of an upstream may die, and end its connection like one that has finished, while the process lives.
var _ = DescribeTable("An event stream until close that a living upstream may have broken off is visibly incomplete where it may be resumed",
	func(ctx SpecContext, header http.Header, body string) {
		for _, way := range []way{direct, throughPeer} {
			view := fetchWith(ctx, way.start(respondUntilClose(eventStream, body)), "/draft/", header)
			if body == "" {
				Expect(view.status).To(Equal(http.StatusBadGateway), "%s: got %+v", way.name, view)
				continue
			}
			Expect(view.err).To(HaveOccurred(), "%s: got %+v", way.name, view)
			Expect(view.body).To(Equal(body), way.name)
		}
	},
	Entry("after its first event", SpecTimeout(specTimeout), http.Header{}, "id: 1\ndata: a\n\n"),
	Entry("after two events", SpecTimeout(specTimeout), http.Header{}, wholeEvents),
	Entry("after a comment", SpecTimeout(specTimeout), http.Header{}, wholeEvents+": keep-alive\n\n"),
	Entry("before its maximum", SpecTimeout(specTimeout), atMost(3), wholeEvents),
	Entry("after an event without data", SpecTimeout(specTimeout), atMost(3), wholeEvents+"id: 3\n\n"),
	Entry("when it was resumed", SpecTimeout(specTimeout), resumedAt("5"), wholeEvents),
	Entry("when it was resumed from its beginning", SpecTimeout(specTimeout), resumedAt("0"), ""),
	Entry("when it was resumed at no event", SpecTimeout(specTimeout), http.Header{resumesHeader: {"r1"}}, ""),
)

// A stream that always ends with a reset would be lost for callers that can do nothing about it.
var _ = DescribeTable("A stream until close whose upstream lives ends regularly",
	func(ctx SpecContext, path string, header http.Header, head, body string) {
		answer := respondAfterReading("HTTP/1.1 200 OK\r\nSpec-Request: ID\r\n" + head + "\r\n\r\n" + body)
		for _, way := range []way{direct, throughPeer} {
			view := fetchWith(ctx, way.start(answer), path, header)
			Expect(view.err).NotTo(HaveOccurred(), way.name)
			Expect(view.body).To(Equal(body), way.name)
			Expect(view.framing).To(Equal(shuttle.UntilClose), way.name)
		}
	},
	Entry("if it has as many events as the maximum of tokens", SpecTimeout(specTimeout), "/draft/", atMost(2), "Content-Type: "+eventStream, wholeEvents),
	Entry("if it was resumed and brings nothing", SpecTimeout(specTimeout), "/draft/", resumedAt("2"), "Content-Type: "+eventStream, ""),
	Entry("if it was resumed and brings a comment", SpecTimeout(specTimeout), "/draft/", resumedAt("2"), "Content-Type: "+eventStream, ": keep-alive\n\n"),
	Entry("if its route may not be resumed", SpecTimeout(specTimeout), "/write/", http.Header{}, "Content-Type: "+eventStream, wholeEvents),
	Entry("if its events have no IDs to resume it at", SpecTimeout(specTimeout), "/draft/", http.Header{}, "Content-Type: "+eventStream, "data: a\n\n"),
	Entry("if it has no events", SpecTimeout(specTimeout), "/draft/", http.Header{}, "Content-Type: text/plain", wholeEvents),
	Entry("if it is compressed, which marks its end", SpecTimeout(specTimeout), "/draft/", http.Header{},
		"Content-Encoding: gzip\r\nContent-Type: "+eventStream, "\x1f\x8b\n\n\x08"),
)

// An event may have several tokens, the last one fewer.
var _ = DescribeTable("A stream until close reaches its maximum by the tokens in each event",
	func(ctx SpecContext, tokens int, whole bool) {
		p := newTestProxy(newFakeUpstream(respondUntilClose(eventStream, wholeEvents)))
		p.control.commit(withStride)
		Eventually(ctx, p.proxy.RoutesVersion).Should(BeEquivalentTo(2))
		view := fetchWith(ctx, p.server.URL, "/draft/", atMost(tokens))
		Expect(view.err == nil).To(Equal(whole), "got %+v", view)
	},
	Entry("with a full last event", SpecTimeout(specTimeout), 2*eventTokens, true),
	Entry("with one token in the last event", SpecTimeout(specTimeout), eventTokens+1, true),
	Entry("not with a token more", SpecTimeout(specTimeout), 2*eventTokens+1, false),
)

// A caller of HTTP/1.0 gets all responses until close, also those whose end the upstream has marked.
var _ = DescribeTable("A stream that may be resumed ends for a caller of HTTP/1.0 as it did for the instance",
	func(ctx SpecContext, framing, body string, regular bool) {
		p := newTestProxy(newFakeUpstream(respondAfterReading(
			"HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nContent-Type: " + eventStream + "\r\n" + framing + "\r\n" + body)))
		view := callRaw(ctx, p.server.Listener.Addr().String(), http.MethodPost, "/draft/", "HTTP/1.0", "r1")
		Expect(view.status).To(Equal(http.StatusOK))
		Expect(view.err == nil).To(Equal(regular), "%v", view.err)
		Expect(view.body).To(Equal("id: 1\ndata: a\n\n"))
	},
	Entry("in chunks", SpecTimeout(specTimeout), "Transfer-Encoding: chunked\r\n", "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", true),
	Entry("with a length", SpecTimeout(specTimeout), "Content-Length: 15\r\n", "id: 1\ndata: a\n\n", true),
	Entry("until close", SpecTimeout(specTimeout), "", "id: 1\ndata: a\n\n", false),
)

// streamer answers streams of events until close.
type streamer struct {
	events int

	mu sync.Mutex
	// bounds are the numbers of events after which the next responses are broken off.
	bounds []int
}

// breakOff breaks the next responses off, each after a number of events.
func (s *streamer) breakOff(bounds ...int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bounds = bounds
}

// nextBound returns the number of events of the next response.
func (s *streamer) nextBound() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.bounds) == 0 {
		return s.events
	}
	bound := s.bounds[0]
	s.bounds = s.bounds[1:]
	return bound
}

func (s *streamer) respond(w http.ResponseWriter, r *http.Request) {
	var body strings.Builder
	// A request that does not resume a stream has no such header.
	received, _ := strconv.Atoi(r.Header.Get(lastEventIDHeader))
	last := min(s.events, received+s.nextBound())
	for number := received + 1; number <= last; number++ {
		fmt.Fprintf(&body, "id: %d\ndata: a\n\n", number)
	}
	respondUntilClose(eventStream, body.String())(w, r)
}

// follow requests a stream and resumes it until it ends regularly. It returns the number of its events and
// of the requests.
func (s *streamer) follow(ctx context.Context, url string, id string) (events, requests int) {
	GinkgoHelper()
	header := http.Header{idHeader: {id}}
	for requests = 1; requests <= 5; requests++ {
		view := fetchWith(ctx, url, "/draft/", header)
		events += strings.Count(view.body, "data: ")
		if view.err == nil {
			Expect(view.status).To(Equal(http.StatusOK))
			return events, requests
		}
		header = resumedAt(strconv.Itoa(events))
		header.Set(resumesHeader, id)
		header.Set(idHeader, fmt.Sprint(id, "-", requests))
	}
	return events, requests
}

var _ = Describe("A caller that resumes a stream until close whose end nothing confirms", func() {
	It("gets a regular end with one more request, and after a break with two", func(ctx SpecContext) {
		for _, way := range []way{direct, throughPeer} {
			s := &streamer{events: 6}
			url := way.start(s.respond)
			events, requests := s.follow(ctx, url, "whole")
			Expect(events).To(Equal(6), way.name)
			Expect(requests).To(Equal(2), way.name)
			s.breakOff(2)
			events, requests = s.follow(ctx, url, "broken")
			Expect(events).To(Equal(6), way.name)
			Expect(requests).To(Equal(3), way.name)
		}
	}, SpecTimeout(specTimeout))

	// A run that is broken off before its first event looks like one that has nothing left.
	It("gets the rest if the run that resumes it is broken off as well", func(ctx SpecContext) {
		for _, way := range []way{direct, throughPeer} {
			s := &streamer{events: 6}
			url := way.start(s.respond)
			s.breakOff(2, 0)
			events, requests := s.follow(ctx, url, "broken")
			Expect(events).To(Equal(6), way.name)
			Expect(requests).To(Equal(3), way.name)
		}
	}, SpecTimeout(specTimeout))

	// The reset is this system's own word. Nothing has failed at the upstream.
	It("finds the upstream as usable as before", func(ctx SpecContext) {
		s := &streamer{events: 3}
		u := newFakeUpstream(s.respond)
		p := newTestProxy(u)
		for n := range 20 {
			events, requests := s.follow(ctx, p.server.URL, fmt.Sprint("s", n))
			Expect([]int{events, requests}).To(Equal([]int{3, 2}))
		}
		// Each stream has a run, one that resumes it, and for some another one, within the retry budget.
		Expect(u.count()).To(And(BeNumerically(">", 40), BeNumerically("<", 60)))
	}, SpecTimeout(specTimeout))

	It("resumes it at the version that began it as long as it may", func(ctx SpecContext) {
		g := newResumptionGroup(3)
		g.callerTimeout = time.Minute
		for _, u := range g.announceUpstreams("v1", "v2") {
			u.endsRegularly.Store(true)
		}
		began := g.beginAll(ctx, 0)
		g.clock.advance(10 * time.Second)
		for id, version := range began {
			header := resumedAt("1")
			header.Set(resumesHeader, id)
			header.Set(idHeader, id+"-2")
			status, text, err := g.post(ctx, 0, header)
			Expect(err).To(HaveOccurred(), "the rest until close")
			Expect(status).To(Equal(http.StatusOK), "stream %s, which began at %s", id, version)
			Expect(versionIn(text)).To(Equal(version), "stream %s", id)
		}
	}, SpecTimeout(specTimeout))
})
