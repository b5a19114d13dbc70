package courier

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Server serves the calls of other instances.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	// closing is closed when closed is set.
	closing    chan struct{}
	goroutines sync.WaitGroup
}

// acceptRetryDelay is the time between a failed Accept and the next one.
const acceptRetryDelay = 50 * time.Millisecond

// Services are the receivers of the net/rpc methods that a Server provides.
type Services struct {
	// Roster serves "Roster.Pull". It may be nil.
	Roster *RosterService
	// Others are further receivers by service name.
	Others map[string]any
}

// NewServer starts to serve calls on listener. Close closes the listener.
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
	s.goroutines.Go(s.accept)
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
	s.goroutines.Wait()
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
		s.goroutines.Go(func() {
			s.rpc.ServeConn(conn)
			s.untrack(conn)
		})
	}
}

// waitAfterFailedAccept waits before the next Accept and reports whether to try it. Without free
// file descriptors, Accept fails immediately each time: stopping would cut the instance off from
// the others for good, and retrying at once would occupy a processor core.
func (s *Server) waitAfterFailedAccept() bool {
	timer := time.NewTimer(acceptRetryDelay)
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
