package counter

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// silenceTimeout is how long a request on a reused connection may remain unacknowledged. A device on
// the path may have lost its state for an idle connection, which then stays silent for good. A few
// lost packets are sent again within that time.
//
// Only connections of idempotent requests, which can be repeated, have such a timeout. It also
// decides when unanswered keep-alive probes end a connection, and an upstream may pause for longer.
const silenceTimeout = 500 * time.Millisecond

// limitSilence sets silenceTimeout on a TCP connection. Other connections are left as they are.
func limitSilence(conn net.Conn) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	// Without the timeout, the request ends at its deadline.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
}
