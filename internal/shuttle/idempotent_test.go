package shuttle_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/shuttle"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// idempotentRequest is a request that may run twice.
func idempotentRequest(id string) shuttle.Request {
	return shuttle.Request{
		ID: id, Method: http.MethodPost, Target: "/v1/completions", Header: http.Header{},
		Body: []byte(`{"model":"m"}`), Idempotent: true, SupportsStatusQuery: true, Remaining: time.Minute,
	}
}

// replyOnce is an upstream that responds to the first request of each connection and ignores all
// later ones. It responds to status queries with state, or with 404 if state is empty.
func replyOnce(state upstreamapi.RequestState) script {
	return func(upstream *scriptedUpstream, conn net.Conn, in *bufio.Reader) {
		for replied := false; ; {
			request := upstream.readRequest(in)
			switch {
			case request == nil:
				return
			case strings.HasPrefix(request.URL.Path, upstreamapi.RequestsPath):
				replyStatus(conn, state)
			case !replied:
				replied = true
				reply(conn, okResponse)
			}
		}
	}
}

func replyStatus(conn net.Conn, state upstreamapi.RequestState) {
	if state == "" {
		reply(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return
	}
	body := fmt.Sprintf(`{"id":"r","state":%q}`, state)
	reply(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

var _ = Describe("a kept connection that goes silent", func() {
	var p *shuttle.Proxy

	BeforeEach(func() {
		p = shuttle.New(shuttle.Options{StatusQueryDelay: 20 * time.Millisecond})
		DeferCleanup(p.Close)
	})

	warmUp := func(ctx SpecContext, upstream *scriptedUpstream) {
		request := idempotentRequest("warm")
		// A status query of a slow warm-up would take a scripted connection.
		request.SupportsStatusQuery = false
		response, err := p.Send(ctx, upstream.address(), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(shuttle.Prefetch(response, 10)).To(Succeed())
		Expect(response.Body.Close()).To(Succeed())
	}
	expectResponse := func(ctx SpecContext, upstream *scriptedUpstream) {
		response, err := p.Send(ctx, upstream.address(), idempotentRequest("r"))
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("ok"))
		Expect(response.RequestID).To(Equal(upstream.requestID()), "each attempt has its own id")
		Expect(response.Body.Close()).To(Succeed())
	}

	// A request is sent on a connection that never delivers it or its response. The status query on
	// a new connection shows that the connection is lost, or shows nothing. The request must be
	// sent again on a new connection, instead of waiting until the caller's deadline.
	DescribeTable("costs the caller no more than the silence time",
		func(ctx SpecContext, state upstreamapi.RequestState) {
			upstream := newScriptedUpstream(replyOnce(state))
			warmUp(ctx, upstream)
			expectResponse(ctx, upstream)
		},
		Entry("if the upstream has not received the request", SpecTimeout(specTimeout), upstreamapi.RequestNeverSeen),
		Entry("if the upstream's response was lost", SpecTimeout(specTimeout), upstreamapi.RequestFinished),
		Entry("if the upstream does not report the status", SpecTimeout(specTimeout), upstreamapi.RequestState("")),
	)

	// A slow upstream reports that the request is running. The request must not be sent a second
	// time: that would double the load of an overloaded upstream.
	It("is not taken for one whose upstream is busy", SpecTimeout(specTimeout), func(ctx SpecContext) {
		statusQueried := make(chan struct{}, 100)
		upstream := newScriptedUpstream(func(upstream *scriptedUpstream, conn net.Conn, in *bufio.Reader) {
			request := upstream.readRequest(in)
			if request == nil {
				return
			}
			if strings.HasPrefix(request.URL.Path, upstreamapi.RequestsPath) {
				replyStatus(conn, upstreamapi.RequestRunning)
				statusQueried <- struct{}{}
				return
			}
			<-statusQueried
			<-statusQueried
			reply(conn, okResponse)
		})
		expectResponse(ctx, upstream)
		Expect(upstream.requestCount()).To(Equal(1))
	})

	// A slow upstream does not report the status of requests. Only a few requests may be sent to it
	// a second time.
	It("causes only a few hedged requests if the upstream does not report the status", SpecTimeout(specTimeout), func(ctx SpecContext) {
		release := make(chan struct{})
		upstream := newScriptedUpstream(func(upstream *scriptedUpstream, conn net.Conn, in *bufio.Reader) {
			for {
				request := upstream.readRequest(in)
				switch {
				case request == nil:
					return
				case strings.HasPrefix(request.URL.Path, upstreamapi.RequestsPath):
					replyStatus(conn, "")
				case request.Header.Get(upstreamapi.RequestIDHeader) == "warm":
					reply(conn, okResponse)
				default:
					<-release
					reply(conn, okResponse)
				}
			}
		})
		const requests = 40
		results := make(chan error, requests)
		for range requests {
			go func() {
				defer GinkgoRecover()
				warmUp(ctx, upstream)
				_, err := p.Send(ctx, upstream.address(), idempotentRequest("r"))
				results <- err
			}()
		}
		Eventually(ctx, upstream.requestCount).Should(BeNumerically(">=", 2*requests))
		Consistently(ctx, upstream.requestCount).WithTimeout(200 * time.Millisecond).Should(BeNumerically("<=", 2*requests+20))
		close(release)
		for range requests {
			Expect(<-results).NotTo(HaveOccurred())
		}
	})

	// A request is sent on a connection that is lost, and again on a new one, where the upstream
	// refuses it. The first attempt may have run, so the outcome must not be reported as not-run.
	It("reports an unknown outcome if the second attempt is refused", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream := newScriptedUpstream(replyOnce(upstreamapi.RequestFinished), replyOnce(upstreamapi.RequestFinished),
			func(upstream *scriptedUpstream, conn net.Conn, in *bufio.Reader) {
				upstream.readRequest(in)
				reply(conn, "HTTP/1.1 503 Busy\r\nLovagelift-Refused: not-run\r\nContent-Length: 0\r\n\r\n")
			})
		warmUp(ctx, upstream)
		_, err := p.Send(ctx, upstream.address(), idempotentRequest("r"))
		Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
	})

	// A plain service does not support status queries and may mistake one for a regular request. It
	// must receive none; a request without a response is sent again.
	It("sends no status query to a plain service", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream := newScriptedUpstream(replyOnce(upstreamapi.RequestNeverSeen))
		warmUp(ctx, upstream)
		request := idempotentRequest("r")
		request.SupportsStatusQuery = false
		response, err := p.Send(ctx, upstream.address(), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		_, received := upstream.counts()
		Expect(received).To(Equal(upstream.requestCount()), "no status query among them")
	})

	// The upstream process has ended, but its connection remains open. The status query fails as
	// well. The attempt must end at once, so that another upstream can be tried.
	It("ends the attempt if the status query cannot reach the upstream", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream := newScriptedUpstream(func(upstream *scriptedUpstream, _ net.Conn, in *bufio.Reader) {
			upstream.readRequest(in)
			upstream.listener.Close()
			_, _ = io.Copy(io.Discard, in)
		})
		_, err := p.Send(ctx, upstream.address(), idempotentRequest("r"))
		Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
	})
})

var _ = Describe("an answer that pauses for good", func() {
	// A response stops before its end, and the connection remains open. Without an idle timeout the
	// caller would wait until its deadline.
	It("counts as cut off", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream := newScriptedUpstream(func(upstream *scriptedUpstream, conn net.Conn, in *bufio.Reader) {
			upstream.readRequest(in)
			reply(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			_, _ = io.Copy(io.Discard, in)
		})
		p := shuttle.New(shuttle.Options{BodyIdleTimeout: 50 * time.Millisecond})
		defer p.Close()
		response, err := p.Send(ctx, upstream.address(), nonIdempotentRequest())
		Expect(err).NotTo(HaveOccurred())
		err = shuttle.Prefetch(response, 100)
		Expect(errors.Is(err, shuttle.ErrTruncated)).To(BeTrue())
		Expect(outcomeOf(err)).To(Equal(outcome.Ran))
	})
})
