package counter_test

import (
	"fmt"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/standin"
)

// streamHead is the head of a stream of a framing.
const streamHead = "HTTP/1.1 200 OK\r\n" + idHeader + ": %s\r\nContent-Type: " + eventStream + "\r\n%s\r\n"

// breakBeforeFirstByte returns a handler that sends the head of a stream and what follows it, of which nothing
// belongs to the body, and ends the connection.
func breakBeforeFirstByte(framing, rest string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer GinkgoRecover()
		_, _ = io.ReadAll(r.Body)
		text := fmt.Sprintf(streamHead, r.Header.Get(idHeader), framing) + rest
		Expect(standin.Cut{At: len(text), Wait: lateCut, Reset: reset}.Send(w, r, text)).To(Succeed())
	}
}

// chunked is the framing of a stream in chunks.
const chunked = "Transfer-Encoding: chunked\r\n"

// breaksBeforeFirstByte are the ways on which a stream breaks before its first byte.
var breaksBeforeFirstByte = map[string]http.HandlerFunc{
	"in chunks, closed":              breakBeforeFirstByte(chunked, "", false),
	"in chunks, reset":               breakBeforeFirstByte(chunked, "", true),
	"with a chunk size that is none": breakBeforeFirstByte(chunked, "seat\r\n", false),
	"with a length, reset":           breakBeforeFirstByte("Content-Length: 40\r\n", "", true),
	"until close":                    breakBeforeFirstByte("", "", false),
	"until close, reset":             breakBeforeFirstByte("", "", true),
}

// Its caller got no answer at all: the connection was closed without a head.
var _ = Describe("A stream that breaks before its first byte", func() {
	It("is reported as a failed attempt", func(ctx SpecContext) {
		for name, answer := range breaksBeforeFirstByte {
			for _, way := range []way{direct, throughPeer} {
				url := way.start(answer)
				for _, path := range []string{"/write/", "/draft/"} {
					view := fetch(ctx, url, path)
					Expect(view.err).NotTo(HaveOccurred(), "%s, %s %s", name, way.name, path)
					Expect(view.status).To(Equal(http.StatusBadGateway), "%s, %s %s", name, way.name, path)
				}
			}
		}
	}, SpecTimeout(cutsTimeout))

	It("is replaced by that of another upstream if it may be resumed", func(ctx SpecContext) {
		for name, answer := range breaksBeforeFirstByte {
			faulty := newFakeUpstream(answer)
			p := newTestProxy(faulty, newFakeUpstream(succeed))
			for range 20 {
				view := fetch(ctx, p.server.URL, "/draft/")
				Expect(view.err).NotTo(HaveOccurred(), name)
				Expect(view.body).To(HavePrefix("POST /draft/"), "%s: got %+v", name, view)
			}
			Expect(faulty.count()).To(And(BeNumerically(">", 0), BeNumerically("<=", 3)), name)
		}
	}, SpecTimeout(cutsTimeout))

	It("is sent once if it can't be resumed", func(ctx SpecContext) {
		for name, answer := range breaksBeforeFirstByte {
			p := newTestProxy(newFakeUpstream(answer), newFakeUpstream(answer))
			Expect(fetch(ctx, p.server.URL, "/write/").status).To(Equal(http.StatusBadGateway), name)
			Expect(p.arrivals()).To(Equal(1), name)
		}
	}, SpecTimeout(cutsTimeout))
})
