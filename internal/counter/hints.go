package counter

import (
	"hash/fnv"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/parcel"
)

// hints tells the other entry instances at once what goes to which engine, and
// hears the same of them. Reports of engines come half a second later; in that
// time several instances would fill the engine that looked empty to all.
//
// A hint is one datagram. One that is lost makes an engine look a little emptier
// than it is, for a quarter of a second.
type hints struct {
	conn  net.PacketConn
	heard func(now time.Time, engine string, tokens int, sender uint32)
	now   func() time.Time

	mu    sync.Mutex
	peers []netip.AddrPort
	done  sync.WaitGroup
}

// maxHintBytes bounds a hint: the name of an engine and a number.
const maxHintBytes = 256

// newHints starts to hear on conn, which may be nil: then nothing is told or
// heard.
func newHints(conn net.PacketConn, now func() time.Time, heard func(time.Time, string, int, uint32), log zerolog.Logger) *hints {
	h := &hints{conn: conn, heard: heard, now: now}
	if conn != nil {
		h.done.Go(func() { h.listen(log) })
	}
	return h
}

// follow replaces the instances that are told.
func (h *hints) follow(addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers = h.peers[:0]
	for _, address := range addresses {
		if peer, err := netip.ParseAddrPort(address); err == nil {
			h.peers = append(h.peers, peer)
		}
	}
}

// tell tells the others that tokens go to engine. It does not wait.
func (h *hints) tell(engine string, tokens int) {
	if h.conn == nil {
		return
	}
	hint := parcel.AppendUint(parcel.AppendBytes(nil, engine), uint64(tokens))
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, peer := range h.peers {
		// A hint that can't be sent is as good as lost.
		_, _ = h.conn.WriteTo(hint, net.UDPAddrFromAddrPort(peer))
	}
}

func (h *hints) listen(log zerolog.Logger) {
	buffer := make([]byte, maxHintBytes)
	for {
		n, from, err := h.conn.ReadFrom(buffer)
		if err != nil {
			log.Debug().Err(err).Msg("hints of other instances end")
			return
		}
		reader := parcel.NewReader(buffer[:n])
		engine, tokens := reader.String(), reader.Uint()
		if reader.End() != nil || tokens > maxHintTokens {
			continue
		}
		h.heard(h.now(), engine, int(tokens), hashOf(from))
	}
}

// hashOf tells other instances apart.
func hashOf(from net.Addr) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(from.String()))
	return sum.Sum32()
}

// maxHintTokens is above any prompt.
const maxHintTokens = 1 << 24

func (h *hints) close() {
	if h.conn != nil {
		h.conn.Close()
	}
	h.done.Wait()
}
