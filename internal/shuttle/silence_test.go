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

// question is a request that may run twice.
func question(id string) shuttle.Request {
	return shuttle.Request{
		ID: id, Method: http.MethodPost, Target: "/v1/completions", Header: http.Header{},
		Body: []byte(`{"model":"m"}`), Idempotent: true, AskAfter: true, Remaining: time.Minute,
	}
}

// answerOnce plays an upstream whose connections answer the first request, and
// after that take in what comes and stay silent. Questions after a request are
// answered with state, or with 404 if it is empty.
func answerOnce(state upstreamapi.RequestState) script {
	return func(u *scriptedUpstream, conn net.Conn, in *bufio.Reader) {
		for answered := false; ; {
			request := u.whole(in)
			switch {
			case request == nil:
				return
			case strings.HasPrefix(request.URL.Path, upstreamapi.RequestsPath):
				answerStatus(conn, state)
			case !answered:
				answered = true
				reply(conn, ok)
			}
		}
	}
}

func answerStatus(conn net.Conn, state upstreamapi.RequestState) {
	if state == "" {
		reply(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return
	}
	body := fmt.Sprintf(`{"id":"r","state":%q}`, state)
	reply(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

var _ = Describe("a kept connection that goes silent", func() {
	var s *shuttle.Shuttle

	BeforeEach(func() {
		s = shuttle.New(shuttle.Options{SilenceTime: 20 * time.Millisecond})
		DeferCleanup(s.Close)
	})

	warm := func(ctx SpecContext, u *scriptedUpstream) {
		answer, err := s.Send(ctx, u.address(), question("warm"))
		Expect(err).NotTo(HaveOccurred())
		Expect(shuttle.Prefetch(answer, 10)).To(Succeed())
		Expect(answer.Body.Close()).To(Succeed())
	}
	expectAnswer := func(ctx SpecContext, u *scriptedUpstream) {
		answer, err := s.Send(ctx, u.address(), question("r"))
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("ok"))
		Expect(answer.Body.Close()).To(Succeed())
	}

	// The caller's request goes out on a connection that swallows it. Asked on a
	// new connection, the upstream has never seen it, or does not say. The request
	// goes out again there, and the caller gets its answer instead of waiting up
	// to its deadline.
	DescribeTable("costs the caller no more than the silence time",
		func(ctx SpecContext, state upstreamapi.RequestState) {
			u := newScriptedUpstream(answerOnce(state))
			warm(ctx, u)
			expectAnswer(ctx, u)
		},
		Entry("where the upstream has not seen the request", SpecTimeout(specTimeout), upstreamapi.RequestNeverSeen),
		Entry("where the upstream's answer was swallowed", SpecTimeout(specTimeout), upstreamapi.RequestFinished),
		Entry("where the upstream does not say", SpecTimeout(specTimeout), upstreamapi.RequestState("")),
	)

	// The upstream is slow and says so. Its request must not be sent a second
	// time: that would double the load of an upstream that has too much.
	It("is not taken for one whose upstream is busy", SpecTimeout(specTimeout), func(ctx SpecContext) {
		asked := make(chan struct{}, 100)
		u := newScriptedUpstream(func(u *scriptedUpstream, conn net.Conn, in *bufio.Reader) {
			request := u.whole(in)
			if request == nil {
				return
			}
			if strings.HasPrefix(request.URL.Path, upstreamapi.RequestsPath) {
				answerStatus(conn, upstreamapi.RequestRunning)
				asked <- struct{}{}
				return
			}
			<-asked
			<-asked
			reply(conn, ok)
		})
		expectAnswer(ctx, u)
		Expect(u.sent()).To(Equal(1))
	})

	// An upstream that does not say what became of a request is merely slow. Only
	// a few requests are sent to it twice.
	It("is suspected for a few requests only where the upstream does not say", SpecTimeout(specTimeout), func(ctx SpecContext) {
		release := make(chan struct{})
		u := newScriptedUpstream(func(u *scriptedUpstream, conn net.Conn, in *bufio.Reader) {
			for first := true; ; first = false {
				request := u.whole(in)
				switch {
				case request == nil:
					return
				case strings.HasPrefix(request.URL.Path, upstreamapi.RequestsPath):
					answerStatus(conn, "")
				case request.Header.Get(upstreamapi.RequestIDHeader) == "warm" && first:
					reply(conn, ok)
				default:
					<-release
					reply(conn, ok)
				}
			}
		})
		const requests = 40
		ended := make(chan error, requests)
		for range requests {
			go func() {
				defer GinkgoRecover()
				warm(ctx, u)
				_, err := s.Send(ctx, u.address(), question("r"))
				ended <- err
			}()
		}
		Eventually(ctx, u.sent).Should(BeNumerically(">=", 2*requests))
		Consistently(ctx, u.sent).WithTimeout(200 * time.Millisecond).Should(BeNumerically("<=", 2*requests+20))
		close(release)
		for range requests {
			Expect(<-ended).NotTo(HaveOccurred())
		}
	})

	// The request went out on a connection that was lost, and again on a new one,
	// where the upstream refuses it. The first may have run: that the second did
	// not must not be told as if none had.
	It("leaves open what became of the first when the second is refused", SpecTimeout(specTimeout), func(ctx SpecContext) {
		u := newScriptedUpstream(answerOnce(upstreamapi.RequestFinished), answerOnce(upstreamapi.RequestFinished),
			func(u *scriptedUpstream, conn net.Conn, in *bufio.Reader) {
				u.whole(in)
				reply(conn, "HTTP/1.1 503 Busy\r\nLovagelift-Refused: not-run\r\nContent-Length: 0\r\n\r\n")
			})
		warm(ctx, u)
		_, err := s.Send(ctx, u.address(), question("r"))
		Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
	})

	// A plain service does not know such questions and may take one for a call. It
	// is asked none; a request that goes unanswered goes out again.
	It("asks no plain service after a request", SpecTimeout(specTimeout), func(ctx SpecContext) {
		u := newScriptedUpstream(answerOnce(upstreamapi.RequestNeverSeen))
		warm(ctx, u)
		request := question("r")
		request.AskAfter = false
		answer, err := s.Send(ctx, u.address(), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		_, arrivals := u.counted()
		Expect(arrivals).To(Equal(u.sent()), "no question among them")
	})

	// The upstream is gone behind its connection: it can't be asked either. The
	// attempt ends at once, so that another upstream can be tried.
	It("ends the attempt when the upstream can't be asked", SpecTimeout(specTimeout), func(ctx SpecContext) {
		u := newScriptedUpstream(func(u *scriptedUpstream, _ net.Conn, in *bufio.Reader) {
			u.whole(in)
			u.listener.Close()
			_, _ = io.Copy(io.Discard, in)
		})
		_, err := s.Send(ctx, u.address(), question("r"))
		Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
	})
})

var _ = Describe("an answer that pauses for good", func() {
	// The upstream's answer stops in the middle and its connection stays open.
	// Without a bound the caller would wait up to its deadline.
	It("counts as cut off", SpecTimeout(specTimeout), func(ctx SpecContext) {
		u := newScriptedUpstream(func(u *scriptedUpstream, conn net.Conn, in *bufio.Reader) {
			u.whole(in)
			reply(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			_, _ = io.Copy(io.Discard, in)
		})
		s := shuttle.New(shuttle.Options{BodySilence: 50 * time.Millisecond})
		defer s.Close()
		answer, err := s.Send(ctx, u.address(), booking())
		Expect(err).NotTo(HaveOccurred())
		err = shuttle.Prefetch(answer, 100)
		Expect(errors.Is(err, shuttle.ErrCutOff)).To(BeTrue())
		Expect(outcomeOf(err)).To(Equal(outcome.Ran))
	})
})
