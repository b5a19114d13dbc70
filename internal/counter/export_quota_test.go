package counter

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/quota"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

// QuotaNetwork is a group of instances that share quotas, without a real network. Messages to an
// instance that is down are lost. It is not safe for concurrent use.
type QuotaNetwork struct {
	now       time.Time
	addresses []netip.AddrPort
	running   map[netip.AddrPort]*Proxy
}

// NewQuotaNetwork returns a group of running instances.
func NewQuotaNetwork(now time.Time, addresses []netip.AddrPort) *QuotaNetwork {
	n := &QuotaNetwork{now: now, addresses: addresses, running: map[netip.AddrPort]*Proxy{}}
	for _, address := range addresses {
		n.Start(address)
	}
	return n
}

// Start starts an instance, which knows nothing of before.
func (n *QuotaNetwork) Start(address netip.AddrPort) {
	p := NewInstance(NewUpstreamPool("here", time.Minute), address, n.addresses).proxy
	p.options.Now = func() time.Time { return n.now }
	p.logQuotas = map[string]*logQuota{}
	p.peers = &peerLink{conn: networkConn{network: n, self: address}}
	n.running[address] = p
}

// Kill ends an instance.
func (n *QuotaNetwork) Kill(address netip.AddrPort) {
	delete(n.running, address)
}

// Advance lets time pass.
func (n *QuotaNetwork) Advance(by time.Duration) {
	n.now = n.now.Add(by)
}

// Take takes units of a workspace's quota at an instance, and reports whether it may spend them.
func (n *QuotaNetwork) Take(ctx context.Context, at netip.AddrPort, name string, limit quota.Limit, need float64) bool {
	p := n.running[at]
	if p == nil {
		return false
	}
	_, granted := p.takeQuota(ctx, &workspace.Workspace{Name: name, Quota: limit}, need).(quota.Granted)
	return granted
}

// networkConn delivers the messages of an instance to the others of its group.
type networkConn struct {
	net.PacketConn
	network *QuotaNetwork
	self    netip.AddrPort
}

func (c networkConn) WriteTo(encoded []byte, to net.Addr) (int, error) {
	message, err := permit.Decode(encoded)
	if err != nil {
		return 0, err
	}
	if receiver := c.network.running[to.(*net.UDPAddr).AddrPort()]; receiver != nil {
		receiver.receive(c.network.now, c.self, message)
	}
	return len(encoded), nil
}
