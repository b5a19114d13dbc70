package counter

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// peerLink carries the messages by which entry instances share engines, each in one UDP datagram. A
// lost message whose sender awaits an answer is sent again. The loss of any other is corrected by
// the next reports of the engines.
type peerLink struct {
	conn       net.PacketConn
	now        func() time.Time
	handler    func(now time.Time, from netip.AddrPort, message permit.Message)
	background sync.WaitGroup
}

// newPeerLink starts to receive from conn. If conn is nil, nothing is sent or received.
func newPeerLink(
	conn net.PacketConn, now func() time.Time, handler func(time.Time, netip.AddrPort, permit.Message), log zerolog.Logger,
) *peerLink {
	l := &peerLink{conn: conn, now: now, handler: handler}
	if conn != nil {
		l.background.Go(func() { l.listen(log) })
	}
	return l
}

// send sends a message without blocking. It reports false if the message is too large.
func (l *peerLink) send(to netip.AddrPort, message permit.Message) bool {
	if l.conn == nil {
		return false
	}
	encoded := permit.Append(nil, message)
	if len(encoded) > permit.MaxBytes {
		return false
	}
	// A message that cannot be sent is treated as lost.
	_, _ = l.conn.WriteTo(encoded, net.UDPAddrFromAddrPort(to))
	return true
}

func (l *peerLink) listen(log zerolog.Logger) {
	buffer := make([]byte, permit.MaxBytes+1)
	for {
		n, from, err := l.conn.ReadFrom(buffer)
		if err != nil {
			log.Debug().Err(err).Msg("stopped receiving messages from other instances")
			return
		}
		sender, ok := from.(*net.UDPAddr)
		if !ok {
			continue
		}
		message, err := permit.Decode(buffer[:n])
		if err != nil {
			// Undecodable messages are ignored. No instance waits long for an answer.
			continue
		}
		address := sender.AddrPort()
		l.handler(l.now(), netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), message)
	}
}

func (l *peerLink) close() {
	if l.conn != nil {
		l.conn.Close()
	}
	l.background.Wait()
}
