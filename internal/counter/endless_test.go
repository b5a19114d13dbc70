package counter_test

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/pause"
)

// longHead is a response that is complete but for its head, which is longer than any sound one.
var longHead = "HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nContent-Length: 4\r\nX-Long: " +
	strings.Repeat("x", 200<<10) + "\r\n\r\nlong"

// respondEndlessly sends the beginning of a response and then a piece of it without an end.
func respondEndlessly(beginning, piece string) http.HandlerFunc {
	piece = strings.Repeat(piece, 32<<10/len(piece))
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, err = io.WriteString(conn, strings.ReplaceAll(beginning, "ID", r.Header.Get(idHeader)))
		for err == nil {
			_, err = io.WriteString(conn, piece)
		}
	}
}

// endlessResponses are responses without an end in each of their parts.
var endlessResponses = map[string]http.HandlerFunc{
	"status line":     respondEndlessly("HTTP/1.1 200 O", "K"),
	"line of a head":  respondEndlessly("HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nX-Long: ", "x"),
	"name of a field": respondEndlessly("HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nX", "x"),
	"head":            respondEndlessly("HTTP/1.1 200 OK\r\nSpec-Request: ID\r\n", "X-More: 1\r\n"),
	"interim heads":   respondEndlessly("", "HTTP/1.1 102 Processing\r\nX-More: 1\r\n\r\n"),
	"until close":     respondEndlessly("HTTP/1.1 200 OK\r\nSpec-Request: ID\r\n\r\n", "x"),
	"chunks":          respondEndlessly("HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
	"chunk size":      respondEndlessly("HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
	"chunk extension": respondEndlessly("HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n4;x=", "x"),
	"trailer":         respondEndlessly("HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n"),
	"event":           respondEndlessly("HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nContent-Type: "+eventStream+"\r\n\r\ndata: ", "x"),
	"events":          respondEndlessly("HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nContent-Type: "+eventStream+"\r\n\r\n", "data: x\n\n"),
}

// endlessBody sends a body without an end.
func endlessBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	piece := make([]byte, 32<<10)
	for {
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

// slowBody sends a byte of a long body from time to time.
func slowBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	w.Header().Set("Content-Length", "100000")
	for r.Context().Err() == nil {
		if _, err := w.Write([]byte("x")); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		pause.For(r.Context(), 10*time.Millisecond)
	}
}

// readAndLeave sends a request and leaves after limit bytes of the response.
func readAndLeave(ctx context.Context, url, path string, limit int64) {
	GinkgoHelper()
	response, err := post(ctx, url, path)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, limit))
}

var _ = Describe("A response without an end", func() {
	// An instance read ten megabytes of each such head before it gave up.
	DescribeTable("in its head fails, and its upstream is avoided",
		func(ctx SpecContext, faulty http.HandlerFunc) {
			endless, sound := newFakeUpstream(faulty), newFakeUpstream(succeed)
			p := newTestProxy(endless, sound)
			for range 20 {
				response, body, err := p.send(ctx, http.MethodGet, "/look/", "")
				Expect(err).NotTo(HaveOccurred())
				Expect(response.StatusCode).To(Equal(http.StatusOK))
				Expect(body).To(HavePrefix("GET"), "answered by the sound one")
			}
			Expect(endless.count()).To(And(BeNumerically(">", 0), BeNumerically("<=", 3)))
		},
		Entry("of a long header", respondAfterReading(longHead)),
		Entry("of interim responses", endlessResponses["interim heads"]),
	)

	// Callers left after some megabytes, which counted as a success of the upstream.
	DescribeTable("in its body counts as the upstream's failure when the caller leaves",
		func(ctx SpecContext, path string) {
			endless, sound := newFakeUpstream(endlessBody), newFakeUpstream(succeed)
			p := newTestProxy(endless, sound)
			for range 20 {
				readAndLeave(ctx, p.server.URL, path, 4<<20)
			}
			Expect(endless.count()).To(And(BeNumerically(">", 0), BeNumerically("<=", 4)))
		},
		Entry("of an idempotent request", "/look/"),
		Entry("of a stream", "/write/x"),
	)

	It("that is still arriving at the deadline counts as the upstream's failure", func(ctx SpecContext) {
		endless, sound := newFakeUpstream(slowBody), newFakeUpstream(succeed)
		p := newTestProxy(endless, sound)
		server := startCallerServer(func(w http.ResponseWriter, r *http.Request) {
			p.proxy.ServeRequest(w, r, counter.Call{ID: r.Header.Get(idHeader), Timeout: 200 * time.Millisecond})
		})
		defer server.Close()
		for range 20 {
			readAndLeave(ctx, server.URL, "/look/", 1<<20)
		}
		Expect(endless.count()).To(And(BeNumerically(">", 0), BeNumerically("<=", 4)))
	})

	// The memory of the requests of all other callers ended with the process.
	It("in any part takes no more memory than an instance has, from all upstreams at once", func(ctx SpecContext) {
		// An entry instance of the users has this memory for everything.
		const calls, mostBytes = 96, 284 << 20
		var upstreams []*upstream
		for _, faulty := range endlessResponses {
			upstreams = append(upstreams, newFakeUpstream(faulty))
		}
		url := newTestProxy(upstreams...).server.URL
		callCtx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
		defer cancel()
		var running sync.WaitGroup
		for i := range calls {
			path := []string{"/look/", "/book/", "/write/", "/draft/"}[i%4]
			running.Go(func() {
				for callCtx.Err() == nil {
					stall(callCtx, url, path)
				}
			})
		}
		most := uint64(0)
		for pause.For(callCtx, 50*time.Millisecond) {
			most = max(most, liveBytes())
		}
		running.Wait()
		AddReportEntry("live bytes", most)
		Expect(most).To(BeNumerically("<", mostBytes))
	}, SpecTimeout(specTimeout))
})

// liveBytes returns the memory that is reachable.
func liveBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// stall sends a request and reads nothing of the response until ctx ends.
func stall(ctx context.Context, url, path string) {
	response, err := post(ctx, url, path)
	if err != nil {
		return
	}
	defer response.Body.Close()
	<-ctx.Done()
}
