package shuttle_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// script is what a scripted upstream does with one connection. It may read
// requests from in and write anything; the connection is closed when it returns.
type script func(u *scriptedUpstream, conn net.Conn, in *bufio.Reader)

// scriptedUpstream is a bare listener that plays one script a connection and
// counts the requests that arrived whole.
type scriptedUpstream struct {
	listener net.Listener
	scripts  []script

	mu       sync.Mutex
	conns    int
	arrivals int
	// requests are the arrivals that are no questions after a request.
	requests int
}

// newScriptedUpstream plays the scripts in turn, the last one for all further
// connections.
func newScriptedUpstream(scripts ...script) *scriptedUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	u := &scriptedUpstream{listener: listener, scripts: scripts}
	DeferCleanup(func() { _ = listener.Close() })
	go u.accept()
	return u
}

func (u *scriptedUpstream) address() string {
	return u.listener.Addr().String()
}

func (u *scriptedUpstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		script := u.scripts[min(u.conns, len(u.scripts)-1)]
		u.conns++
		u.mu.Unlock()
		go func() {
			defer conn.Close()
			script(u, conn, bufio.NewReader(conn))
		}()
	}
}

// whole reads one request to its end and counts it. It returns nil if the
// connection ended before.
func (u *scriptedUpstream) whole(in *bufio.Reader) *http.Request {
	request, err := http.ReadRequest(in)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil
	}
	u.mu.Lock()
	u.arrivals++
	if !strings.HasPrefix(request.URL.Path, upstreamapi.RequestsPath) {
		u.requests++
	}
	u.mu.Unlock()
	return request
}

func (u *scriptedUpstream) counted() (conns, arrivals int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns, u.arrivals
}

// sent returns the number of requests that arrived, questions after them aside.
func (u *scriptedUpstream) sent() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests
}
