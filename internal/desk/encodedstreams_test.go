package desk_test

import (
	"compress/gzip"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// compressStream responds with an event stream that is compressed if the request allows that, in
// chunks. It ends early if broken is true.
func compressStream(stream string, broken bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		var out io.Writer = w
		if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			w.Header().Set("Content-Encoding", "gzip")
			compressor := gzip.NewWriter(w)
			defer compressor.Close()
			out = compressor
		}
		_, _ = io.WriteString(out, stream)
		if compressor, ok := out.(*gzip.Writer); ok {
			_ = compressor.Flush()
		}
		if broken {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// The client of these specs asks for compressed responses, as many do.
var _ = Describe("an event stream whose upstream compresses it", func() {
	const stream = "data: seat 1\n\ndata: [DONE]\n\n"
	paths := []string{"/services/booking/events", "/v1/completions"}

	It("arrives whole", SpecTimeout(specTimeout), func(ctx SpecContext) {
		server := newTestServer(newFakeVoters(), "a")
		server.setUpstreams(newFakeUpstream(compressStream(stream, false)).address())
		for _, path := range paths {
			reply := server.call(ctx, http.MethodPost, path, "", `{"model":"m","stream":true}`)
			Expect(reply.status).To(Equal(http.StatusOK))
			Expect(reply.cutOff).To(BeFalse())
			Expect(reply.body).To(Equal(stream))
		}
	})

	It("breaks off where it does, with nothing behind it that is not compressed", SpecTimeout(specTimeout), func(ctx SpecContext) {
		server := newTestServer(newFakeVoters(), "a")
		server.setUpstreams(newFakeUpstream(compressStream("data: seat 1\n\n", true)).address())
		for _, path := range paths {
			reply := server.call(ctx, http.MethodPost, path, "", `{"model":"m","stream":true}`)
			Expect(reply.cutOff).To(BeTrue())
			Expect(reply.body).To(HavePrefix("data: seat 1\n\n"))
		}
	})
})
