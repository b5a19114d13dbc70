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
	"github.com/lovagelift/lovagelift/internal/entries"
	"github.com/lovagelift/lovagelift/internal/outcome"
)

var _ = Describe("a completion", func() {
	var server *testServer

	BeforeEach(func() { server = newTestServer(newFakeVoters(), "a") })

	complete := func(ctx SpecContext, body string) callerReply {
		return server.call(ctx, http.MethodPost, "/v1/chat/completions", "", body)
	}

	DescribeTable("that is invalid gets one clear error, and is not sent to an upstream",
		func(ctx SpecContext, body string, status int, message string) {
			upstream := newFakeUpstream(nil)
			server.setUpstreams(upstream.address())
			reply := complete(ctx, body)
			Expect(reply.status).To(Equal(status))
			Expect(reply.outcome).To(Equal("not-run"))
			Expect(reply.body).To(ContainSubstring(message))
			Expect(upstream.runCount()).To(BeZero())
		},
		Entry("invalid JSON", SpecTimeout(specTimeout), `{"model":`, 400, "body:1:10: invalid JSON"),
		Entry("invalid UTF-8", SpecTimeout(specTimeout), "{\"model\":\"\xff\"}", 400, "body:1:11: invalid UTF-8"),
		Entry("a wrong type", SpecTimeout(specTimeout), `{"model":5}`, 400, "write a string"),
		Entry("no model", SpecTimeout(specTimeout), `{}`, 400, `\"model\" is missing`),
		Entry("an unknown model", SpecTimeout(specTimeout), `{"model":"x"}`, 404, `no upstream has the model \"x\"`),
		Entry("too large", SpecTimeout(specTimeout), `{"model":"`+strings.Repeat("m", 2000)+`"}`, 413, "larger than 1024 bytes"),
	)

	// The caller's connection ends in the middle of the body. The incomplete body must not be
	// run as if it were complete.
	It("whose body is cut off is not sent to an upstream", SpecTimeout(specTimeout), func(_ SpecContext) {
		upstream := newFakeUpstream(nil)
		server.setUpstreams(upstream.address())
		conn, err := net.Dial("tcp", strings.TrimPrefix(server.url, "http://"))
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
		Expect(upstream.runCount()).To(BeZero())
	})

	// The first engine dies before it responds. A completion may run twice, so another engine
	// serves it, and the caller sees no error.
	It("is answered by another engine when one dies", SpecTimeout(specTimeout), func(ctx SpecContext) {
		dying, living := newFakeUpstream(closeWithoutResponse), newFakeUpstream(nil)
		server.setUpstreams(dying.address(), living.address())
		reply := complete(ctx, `{"model":"m"}`)
		Expect(reply.status).To(Equal(http.StatusOK))
		Expect(reply.body).To(Equal("booked"))
		Expect(dying.runCount()).To(Equal(1))
	})

	// The engine ends its stream without the final event. The caller must get an error event
	// and an aborted connection, as a regular end would look like a complete, shorter response.
	It("whose stream is not whole ends in an error", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream := newFakeUpstream(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, err := fmt.Fprint(w, "data: {\"a\":1}\n\n")
			Expect(err).NotTo(HaveOccurred())
		})
		server.setUpstreams(upstream.address())
		reply := complete(ctx, `{"model":"m","stream":true}`)
		Expect(reply.cutOff).To(BeTrue())
		Expect(reply.body).To(ContainSubstring(string(desk.CodeCutOff)))
	})

	// The preset may change between two attempts at a request. The request reads the
	// configuration once, when it is admitted, so that its goal and its limits do not come from
	// different presets.
	It("takes one configuration, however often it is tried", SpecTimeout(specTimeout), func(ctx SpecContext) {
		first, second, third := newFakeUpstream(closeWithoutResponse), newFakeUpstream(closeWithoutResponse), newFakeUpstream(nil)
		server.setUpstreams(first.address(), second.address(), third.address())
		Expect(complete(ctx, `{"model":"m"}`).status).To(Equal(http.StatusOK))
		Expect(server.configurationReads.Load()).To(BeEquivalentTo(1))
		reply := server.book(ctx, "k", "two seats")
		Expect(reply.outcome).NotTo(BeEmpty())
		Expect(server.configurationReads.Load()).To(BeEquivalentTo(2))
	})

	It("is refused at once by an instance that admits nothing", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream := newFakeUpstream(nil)
		server.setUpstreams(upstream.address())
		server.refusal = &desk.RefusalError{
			Status: 503, Code: desk.CodeConfigurationNotConfirmed, Outcome: outcome.NotRun,
			OtherAddresses: []string{"127.0.0.1:7610", "127.0.0.1:7620"},
		}
		reply := complete(ctx, `{"model":"m"}`)
		Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
		Expect(reply.outcome).To(Equal("not-run"))
		Expect(reply.header.Get(entries.Header)).To(Equal("127.0.0.1:7610,127.0.0.1:7620"))
		Expect(upstream.runCount()).To(BeZero())
	})

	// A newly started instance knows an engine before it can confirm its configuration. If it
	// listed the engine's model in this state, it would refuse the caller's next request.
	It("finds no models listed while the instance refuses requests", SpecTimeout(specTimeout), func(ctx SpecContext) {
		server.setUpstreams(newFakeUpstream(nil).address())
		list := func() int {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.url+"/v1/models", nil)
			Expect(err).NotTo(HaveOccurred())
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			return response.StatusCode
		}
		Expect(list()).To(Equal(http.StatusOK))
		server.refusal = &desk.RefusalError{Status: 503, Code: desk.CodeConfigurationNotConfirmed, Outcome: outcome.NotRun}
		Expect(list()).To(Equal(http.StatusServiceUnavailable))
	})
})
