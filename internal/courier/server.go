package courier

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Server answers the calls of other instances.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	// closing is closed together with the setting of closed.
	closing chan struct{}
	done    sync.WaitGroup
}

// acceptRetry is the time between a failed Accept and the next.
const acceptRetry = 50 * time.Millisecond

// Services are the handlers of the calls that instances make. Each is the
// receiver of net/rpc methods; a nil one is left out.
type Services struct {
	// Roster answers "Roster.Pull".
	Roster *RosterService
	// Others are further receivers by name.
	Others map[string]any
}

// NewServer starts to answer calls that come in on listener, and closes
// listener in the end.
func NewServer(listener net.Listener, services Services) (*Server, error) {
	s := &Server{
		listener: listener,
		rpc:      rpc.NewServer(),
		conns:    map[net.Conn]struct{}{},
		closing:  make(chan struct{}),
	}
	if services.Roster != nil {
		if err := s.rpc.RegisterName("Roster", services.Roster); err != nil {
			return nil, errors.Wrap(err, "courier: registering the roster")
		}
	}
	for name, receiver := range services.Others {
		if err := s.rpc.RegisterName(name, receiver); err != nil {
			return nil, errors.Wrapf(err, "courier: registering %s", name)
		}
	}
	s.done.Go(s.accept)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops the server, closes its connections and waits for its goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	close(s.closing)
	s.listener.Close()
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.waitAfterFailedAccept() {
				continue
			}
			return
		}
		if !s.track(conn) {
			conn.Close()
			return
		}
		s.done.Go(func() {
			s.rpc.ServeConn(conn)
			s.untrack(conn)
		})
	}
}

// waitAfterFailedAccept waits a moment and reports whether to accept again. Out
// of file descriptors, Accept fails at once and again: giving up would leave the
// instance deaf to the others for good, and going on at once would take a core.
func (s *Server) waitAfterFailedAccept() bool {
	timer := time.NewTimer(acceptRetry)
	defer timer.Stop()
	select {
	case <-s.closing:
		return false
	case <-timer.C:
		return true
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}
