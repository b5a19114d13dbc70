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

// script controls one connection of a scripted upstream. It may read requests from in and write
// anything to conn, which is closed when it returns.
type script func(u *scriptedUpstream, conn net.Conn, in *bufio.Reader)

// scriptedUpstream is a listener that runs one script per connection and counts the complete
// requests.
type scriptedUpstream struct {
	listener net.Listener
	scripts  []script

	mu          sync.Mutex
	connections int
	received    int
	// requests counts the received requests without status queries.
	requests int
	// lastID is the id of the last request, and sharedID is true if two requests had the same id.
	lastID   string
	sharedID bool
	ids      map[string]bool
}

// newScriptedUpstream runs the scripts in sequence, the last one for all further connections.
func newScriptedUpstream(scripts ...script) *scriptedUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	u := &scriptedUpstream{listener: listener, scripts: scripts, ids: map[string]bool{}}
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
		script := u.scripts[min(u.connections, len(u.scripts)-1)]
		u.connections++
		u.mu.Unlock()
		go func() {
			defer conn.Close()
			script(u, conn, bufio.NewReader(conn))
		}()
	}
}

// readRequest reads and counts one complete request. It returns nil if the connection ends first.
func (u *scriptedUpstream) readRequest(in *bufio.Reader) *http.Request {
	request, err := http.ReadRequest(in)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil
	}
	u.mu.Lock()
	u.received++
	if !strings.HasPrefix(request.URL.Path, upstreamapi.RequestsPath) {
		u.requests++
		u.lastID = request.Header.Get(upstreamapi.RequestIDHeader)
		u.sharedID = u.sharedID || u.ids[u.lastID]
		u.ids[u.lastID] = true
	}
	u.mu.Unlock()
	return request
}

func (u *scriptedUpstream) counts() (connections, received int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.connections, u.received
}

// requestID returns the id of the last request without status queries. It returns an empty one if two
// of them had the same.
func (u *scriptedUpstream) requestID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sharedID {
		return ""
	}
	return u.lastID
}

// requestCount returns the number of received requests without status queries.
func (u *scriptedUpstream) requestCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests
}
