package counter_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// upstream responds with a handler and records the requests that reach it.
type upstream struct {
	mu       sync.Mutex
	arrivals []string
	server   *httptest.Server
	// answerLiveness responds to liveness checks, and livenessChecks is their number.
	answerLiveness http.HandlerFunc
	livenessChecks int
}

func newFakeUpstream(answer http.HandlerFunc) *upstream {
	u := &upstream{answerLiveness: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }}
	u.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == livenessPath {
			u.countLivenessCheck()
			u.answerLiveness(w, r)
			return
		}
		u.mu.Lock()
		u.arrivals = append(u.arrivals, r.Header.Get(idHeader))
		u.mu.Unlock()
		answer(w, r)
	}))
	DeferCleanup(func() {
		u.server.CloseClientConnections()
		u.server.Close()
	})
	return u
}

func (u *upstream) countLivenessCheck() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.livenessChecks++
}

func (u *upstream) address() string {
	return u.server.Listener.Addr().String()
}

func (u *upstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.arrivals)
}

// succeed sends a complete response.
func succeed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

// closeWithoutResponse closes the connection without a response.
func closeWithoutResponse(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	Expect(err).NotTo(HaveOccurred())
	conn.Close()
}

// respondRaw sends raw bytes and closes the connection.
func respondRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get(idHeader)))
		conn.Close()
	}
}

func refuseNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(notRunHeader, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
