package counter

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// exchange carries the messages by which entry instances share engines, each in one
// datagram. One that is lost is sent again by whoever waits for its answer; the others
// are missed for a moment, until engines report.
type exchange struct {
	conn net.PacketConn
	now  func() time.Time
	hear func(now time.Time, from netip.AddrPort, message permit.Message)
	done sync.WaitGroup
}

// newExchange starts to hear on conn, which may be nil: then nothing is told or heard.
func newExchange(
	conn net.PacketConn, now func() time.Time, hear func(time.Time, netip.AddrPort, permit.Message), log zerolog.Logger,
) *exchange {
	e := &exchange{conn: conn, now: now, hear: hear}
	if conn != nil {
		e.done.Go(func() { e.listen(log) })
	}
	return e
}

// tell sends a message. It does not wait, and reports false if the message is too large.
func (e *exchange) tell(to netip.AddrPort, message permit.Message) bool {
	if e.conn == nil {
		return false
	}
	encoded := permit.Append(nil, message)
	if len(encoded) > permit.MaxBytes {
		return false
	}
	// A message that can't be sent is as good as lost.
	_, _ = e.conn.WriteTo(encoded, net.UDPAddrFromAddrPort(to))
	return true
}

func (e *exchange) listen(log zerolog.Logger) {
	buffer := make([]byte, permit.MaxBytes+1)
	for {
		n, from, err := e.conn.ReadFrom(buffer)
		if err != nil {
			log.Debug().Err(err).Msg("messages of other instances end")
			return
		}
		sender, ok := from.(*net.UDPAddr)
		if !ok {
			continue
		}
		message, err := permit.Decode(buffer[:n])
		if err != nil {
			// Whatever it is, no instance waits for its answer for long.
			continue
		}
		address := sender.AddrPort()
		e.hear(e.now(), netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), message)
	}
}

func (e *exchange) close() {
	if e.conn != nil {
		e.conn.Close()
	}
	e.done.Wait()
}
