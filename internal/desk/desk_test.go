package desk_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/outcome"
)

var _ = Describe("a completion", func() {
	var at *entrance

	BeforeEach(func() { at = newEntrance(newVoters(), "a") })

	ask := func(ctx SpecContext, body string) told {
		return at.call(ctx, http.MethodPost, "/v1/chat/completions", "", body)
	}

	DescribeTable("that is wrong gets one clear error, and nothing is sent",
		func(ctx SpecContext, body string, status int, message string) {
			upstream := newBookings(nil)
			at.serveAt(upstream.address())
			told := ask(ctx, body)
			Expect(told.status).To(Equal(status))
			Expect(told.outcome).To(Equal("not-run"))
			Expect(told.body).To(ContainSubstring(message))
			Expect(upstream.counted()).To(BeZero())
		},
		Entry("no JSON", SpecTimeout(specTimeout), `{"model":`, 400, "body:1:10: invalid JSON"),
		Entry("invalid UTF-8", SpecTimeout(specTimeout), "{\"model\":\"\xff\"}", 400, "body:1:11: invalid UTF-8"),
		Entry("a wrong type", SpecTimeout(specTimeout), `{"model":5}`, 400, "write a string"),
		Entry("no model", SpecTimeout(specTimeout), `{}`, 400, `\"model\" is missing`),
		Entry("an unknown model", SpecTimeout(specTimeout), `{"model":"x"}`, 404, `no upstream has the model \"x\"`),
		Entry("too large", SpecTimeout(specTimeout), `{"model":"`+strings.Repeat("m", 2000)+`"}`, 413, "larger than 1024 bytes"),
	)

	// The caller's connection ends in the middle of its body. What came must not
	// be run as if it were all.
	It("whose body is cut off is not sent", SpecTimeout(specTimeout), func(_ SpecContext) {
		upstream := newBookings(nil)
		at.serveAt(upstream.address())
		conn, err := net.Dial("tcp", strings.TrimPrefix(at.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{\"model\":\"m\"}")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(response.Header.Get(outcome.Header)).To(Equal("not-run"))
		Expect(upstream.counted()).To(BeZero())
	})

	// The first engine dies before it answers. A completion may run twice, so
	// another engine answers, and the caller notices nothing.
	It("is answered by another engine when one dies", SpecTimeout(specTimeout), func(ctx SpecContext) {
		dying, living := newBookings(die), newBookings(nil)
		at.serveAt(dying.address(), living.address())
		told := ask(ctx, `{"model":"m"}`)
		Expect(told.status).To(Equal(http.StatusOK))
		Expect(told.body).To(Equal("booked"))
		Expect(dying.counted()).To(Equal(1))
	})

	// The engine ends its stream without the last event. The caller gets an
	// event that says so and a connection that breaks off, never what looks like
	// the end of a short answer.
	It("whose stream is not whole ends in an error", SpecTimeout(specTimeout), func(ctx SpecContext) {
		cut := newBookings(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, err := fmt.Fprint(w, "data: {\"a\":1}\n\n")
			Expect(err).NotTo(HaveOccurred())
		})
		at.serveAt(cut.address())
		told := ask(ctx, `{"model":"m","stream":true}`)
		Expect(told.cutOff).To(BeTrue())
		Expect(told.body).To(ContainSubstring(string(desk.CodeCutOff)))
	})

	// A preset is brought into force while a request is tried at one engine after
	// the other. The request must not get its goal from one preset and its limits
	// from the next: it takes the configuration once, when it is admitted.
	It("takes one configuration, however often it is tried", SpecTimeout(specTimeout), func(ctx SpecContext) {
		first, second, third := newBookings(die), newBookings(die), newBookings(nil)
		at.serveAt(first.address(), second.address(), third.address())
		Expect(ask(ctx, `{"model":"m"}`).status).To(Equal(http.StatusOK))
		Expect(at.issues.Load()).To(BeEquivalentTo(1))
		told := at.book(ctx, "k", "two seats")
		Expect(told.outcome).NotTo(BeEmpty())
		Expect(at.issues.Load()).To(BeEquivalentTo(2))
	})

	It("is refused at once by an instance that admits nothing", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream := newBookings(nil)
		at.serveAt(upstream.address())
		at.refusal = &desk.RefusalError{
			Status: 503, Code: desk.CodeStale, Outcome: outcome.NotRun,
			Others: []string{"127.0.0.1:7610", "127.0.0.1:7620"},
		}
		told := ask(ctx, `{"model":"m"}`)
		Expect(told.status).To(Equal(http.StatusServiceUnavailable))
		Expect(told.outcome).To(Equal("not-run"))
		Expect(told.header.Get(desk.EntriesHeader)).To(Equal("127.0.0.1:7610,127.0.0.1:7620"))
		Expect(upstream.counted()).To(BeZero())
	})

	// An instance has just started. It has heard of an engine already, but can't confirm its
	// configuration yet: a caller that found the model listed was refused at its next request.
	It("finds no model listed that would be refused", SpecTimeout(specTimeout), func(ctx SpecContext) {
		at.serveAt(newBookings(nil).address())
		list := func() int {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, at.url+"/v1/models", nil)
			Expect(err).NotTo(HaveOccurred())
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			return response.StatusCode
		}
		Expect(list()).To(Equal(http.StatusOK))
		at.refusal = &desk.RefusalError{Status: 503, Code: desk.CodeStale, Outcome: outcome.NotRun}
		Expect(list()).To(Equal(http.StatusServiceUnavailable))
	})
})
