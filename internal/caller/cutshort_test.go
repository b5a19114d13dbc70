package caller_test

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/caller"
)

// cutEnd is how an instance ends its connection within a response.
type cutEnd string

const (
	closed cutEnd = "closed"
	reset  cutEnd = "reset"
	// closedBelow is a close of the TCP connection without the end that TLS announces.
	closedBelow cutEnd = "closed below TLS"
)

var cutEnds = []cutEnd{closed, reset, closedBelow}

const (
	// cutsAtOnce is how many answers are cut at once.
	cutsAtOnce  = 32
	wholeAnswer = "data: {\"choices\":[{\"delta\":{\"content\":\"in\"}}]}\n\ndata: [DONE]\n\n"
	wholeList   = `{"entries":[{"name":"a","address":"127.0.0.1:1"},{"name":"b","address":"127.0.0.1:2"}],"keep-seconds":60}`
)

// answerCut returns a handler that sends the first bytes of text and ends the connection.
func answerCut(text string, at int, end cutEnd) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, text[:at])
		inner := conn
		if secure, ok := conn.(*tls.Conn); ok {
			inner = secure.NetConn()
		}
		switch end {
		case closed:
		case reset:
			_ = inner.(*net.TCPConn).SetLinger(0)
			inner.Close()
		case closedBelow:
			inner.Close()
		}
	}
}

// startCut starts an instance whose lists and answers are text, cut short. Without a list, it lists itself.
func startCut(text string, at int, end cutEnd, isList, withTLS bool) (*httptest.Server, *caller.Caller) {
	mux := http.NewServeMux()
	server := httptest.NewUnstartedServer(mux)
	mux.HandleFunc("POST /v1/chat/completions", answerCut(text, at, end))
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, r *http.Request) {
		if isList {
			answerCut(text, at, end)(w, r)
			return
		}
		fmt.Fprintf(w, `{"entries":[{"name":"self","address":%q}],"keep-seconds":60}`, server.Listener.Addr())
	})
	options := caller.Options{Seeds: []string{server.Listener.Addr().String()}}
	if !withTLS {
		server.Start()
		return server, caller.New(options)
	}
	server.StartTLS()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	options.TLS = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	return server, caller.New(options)
}

// Half an answer would pass for a shorter one.
var _ = DescribeTable("An answer of an instance that is cut short at any byte is not whole",
	func(ctx SpecContext, text, final string, withTLS bool) {
		isList := !strings.Contains(text, "[DONE]")
		whole := strings.Index(text, final) + len(final)
		var calls sync.WaitGroup
		places := make(chan struct{}, cutsAtOnce)
		for at := range len(text) + 1 {
			end := cutEnds[at%len(cutEnds)]
			places <- struct{}{}
			calls.Go(func() {
				defer GinkgoRecover()
				defer func() { <-places }()
				server, client := startCut(text, at, end, isList, withTLS)
				defer server.Close()
				var err error
				if isList {
					_, err = client.Entries(ctx)
				} else {
					_, err = client.Complete(ctx, caller.Request{Model: "m", Prompt: "p"}, func(string) {})
				}
				Expect(err == nil && at < whole).To(BeFalse(), "%s after %q", end, text[:at])
				Expect(err != nil && at == len(text) && end != reset).To(BeFalse(), "whole: %v", err)
			})
		}
		calls.Wait()
	},
	Entry("events in chunks", SpecTimeout(time.Minute), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e\r\n"+wholeAnswer+"\r\n0\r\n\r\n", "[DONE]\n", false),
	Entry("events until close", SpecTimeout(time.Minute), "HTTP/1.1 200 OK\r\n\r\n"+wholeAnswer, "[DONE]\n", false),
	Entry("events in HTTP/1.0, over TLS", SpecTimeout(time.Minute), "HTTP/1.0 200 OK\r\n\r\n"+wholeAnswer, "[DONE]\n", true),
	Entry("events in chunks, over TLS", SpecTimeout(time.Minute), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e\r\n"+wholeAnswer+"\r\n0\r\n\r\n", "[DONE]\n", true),
	Entry("a list until close", SpecTimeout(time.Minute), "HTTP/1.1 200 OK\r\n\r\n"+wholeList, wholeList, false),
	Entry("a list until close, over TLS", SpecTimeout(time.Minute), "HTTP/1.1 200 OK\r\n\r\n"+wholeList, wholeList, true),
)
